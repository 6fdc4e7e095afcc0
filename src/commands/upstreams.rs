//! `medlarlug upstreams`: lists the upstreams that an entry instance knows.

use bpaf::Bpaf;

use crate::{
    commands::{
        context::{Common, common},
        error::CommandError,
        table::table,
    },
    protocol::operators::UpstreamStatus,
};

/// Arguments of `upstreams`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Upstreams {
    #[bpaf(external)]
    common: Common,
}

impl Upstreams {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        let context = self.common.context()?;
        let upstreams: Vec<UpstreamStatus> = context.client.get("/upstreams").await?;
        context.print(&upstreams, |all| {
            let rows: Vec<[String; 8]> = all.iter().map(row).collect();
            let header = ["UPSTREAM", "ZONE", "SERVES", "ADDRESS", "SLOTS", "RUN", "WAIT", "STATE"];
            table(header, &rows)
        });
        Ok(())
    }
}

fn row(it: &UpstreamStatus) -> [String; 8] {
    let state = if it.leaving { "leaving" } else { "up" };
    [
        it.id.to_string(),
        it.zone.to_string(),
        it.serves.to_string(),
        it.address.to_string(),
        it.slots.to_string(),
        it.running.to_string(),
        it.waiting.to_string(),
        format!("{state}, {} ms old", it.age_ms),
    ]
}
