//! `medlarlug status`: shows the status of a process and of the peers that it knows.

use bpaf::Bpaf;

use crate::{
    commands::{
        context::{Common, common},
        error::CommandError,
        table::table,
    },
    protocol::operators::{GroupStatus, PeerStatus, ProcessStatus},
};

/// Arguments of `status`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct Status {
    #[bpaf(external)]
    common: Common,
}

impl Status {
    /// Runs the command and prints its result to standard output.
    pub async fn exec(self) -> Result<(), CommandError> {
        let context = self.common.context()?;
        let status: ProcessStatus = context.client.get("/status").await?;
        context.print(&status, show);
        Ok(())
    }
}

fn show(it: &ProcessStatus) -> String {
    let leaving = if it.leaving { ", draining" } else { "" };
    let mut text = format!(
        "{} {} in {} ({}), incarnation {}, revision {}, {} running{leaving}\n",
        it.kind, it.instance, it.zone, it.region, it.incarnation, it.revision, it.running
    );
    text.push_str(&table(["PEER", "STATE", "AGE"], &it.peers.iter().map(peer).collect::<Vec<_>>()));
    if !it.groups.is_empty() {
        let groups: Vec<[String; 5]> = it.groups.iter().map(group).collect();
        text.push_str(&table(["GROUP", "ROLE", "TERM", "LEADER", "COMMITTED"], &groups));
    }
    text
}

fn peer(it: &PeerStatus) -> [String; 3] {
    let age = it.age_ms.map_or("-".into(), |ms| format!("{ms} ms"));
    [it.instance.to_string(), it.state.to_string(), age]
}

fn group(it: &GroupStatus) -> [String; 5] {
    let leader = it.leader.as_ref().map_or("-".into(), ToString::to_string);
    [
        it.group.to_string(),
        it.role.to_string(),
        it.term.to_string(),
        leader,
        it.committed.to_string(),
    ]
}
