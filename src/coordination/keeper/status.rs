//! The status of a keeper's groups for operators.

use medlarlug_core::replication::Replica;
use smol_str::{SmolStr, StrExt, ToSmolStr};

use crate::{
    coordination::keeper::{group::Group, machine::StateMachine},
    protocol::operators::GroupStatus,
};

/// The group's entry in the answer to `GET /status`.
pub fn group_status(group: &Group) -> GroupStatus {
    let replica = group.replica();
    GroupStatus {
        group: group.id().to_smolstr(),
        role: smol_str::format_smolstr!("{:?}", replica.role()).to_lowercase_smolstr(),
        term: replica.term().0,
        leader: replica.leader().cloned(),
        voters: voters(replica),
        committed: replica.committed().0,
    }
}

fn voters(replica: &Replica) -> Vec<SmolStr> {
    let members = replica.membership();
    members.map(|it| it.voters().map(|it| it.key.to_smolstr()).collect()).unwrap_or_default()
}

/// The group's entry in the answer to `GET /dump`.
pub fn group_dump(group: &Group) -> serde_json::Value {
    let replica = group.replica();
    let founding_revision = match group.state_machine() {
        StateMachine::Home(machine) => machine.founding_revision(),
        StateMachine::Configuration(_) | StateMachine::Publication(_) => None,
    };
    serde_json::json!({
        "group": group.id().to_string(),
        "role": format!("{:?}", replica.role()),
        "term": replica.term(),
        "leader": replica.leader(),
        "voters": voters(replica),
        "committed": replica.committed(),
        "applied": replica.applied(),
        "last": replica.last_index(),
        "compacted": replica.snapshot_index(),
        "founded": founding_revision,
    })
}
