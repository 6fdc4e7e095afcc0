//! `medlarlug request ID`: shows the record of a request.

use bpaf::Bpaf;
use medlarlug_core::{
    ids::RequestId,
    record::{RequestRecord, Stage, TimelineEntry},
};

use crate::commands::{
    context::{Common, common},
    error::CommandError,
};

/// Arguments of `request`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Request {
    #[bpaf(external)]
    common: Common,
    /// Id of the request, from the header `x-request-id` of its answer
    #[bpaf(positional("ID"))]
    id: RequestId,
}

impl Request {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        let context = self.common.context()?;
        let path = format!("/requests/{}", self.id);
        let record: RequestRecord = context.client.get(&path).await?;
        context.print(&record, show);
        Ok(())
    }
}

fn show(record: &RequestRecord) -> String {
    let outcome = record.outcome.map_or("running".into(), |it| it.to_string());
    let mut text = format!("{}  team {}  {}  {outcome}\n", record.id, record.team, record.target);
    for entry in &record.timeline {
        text.push_str(&line(entry));
    }
    text
}

fn line(entry: &TimelineEntry) -> String {
    let description = match &entry.stage {
        Stage::Received { instance } => format!("received by {instance}"),
        Stage::Forwarded { zone } => format!("forwarded to {zone}"),
        Stage::Sent { upstream } => format!("sent to {upstream}"),
        Stage::FirstByte => "first byte".into(),
        Stage::Retried { reason } => format!("retried: {reason}"),
        Stage::Ended { outcome, reason } => format!("ended {outcome}: {reason}"),
    };
    format!("  {:>9.3} ms  {description}\n", entry.after.as_secs_f64() * 1_000.0)
}
