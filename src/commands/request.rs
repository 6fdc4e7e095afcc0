//! `medlarlug request ID`: what became of a request.

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
    /// Id of the request, as the answer's `x-request-id` gives it
    #[bpaf(positional("ID"))]
    id: RequestId,
}

impl Request {
    /// Runs the command.
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
    for step in &record.timeline {
        text.push_str(&line(step));
    }
    text
}

fn line(step: &TimelineEntry) -> String {
    let what = match &step.stage {
        Stage::Received { instance } => format!("received by {instance}"),
        Stage::Forwarded { zone } => format!("forwarded to {zone}"),
        Stage::Sent { upstream } => format!("sent to {upstream}"),
        Stage::FirstByte => "first byte".into(),
        Stage::Retried { reason } => format!("retried: {reason}"),
        Stage::Ended { outcome, reason } => format!("ended {outcome}: {reason}"),
    };
    format!("  {:>9.3} ms  {what}\n", step.after.as_secs_f64() * 1_000.0)
}
