//! The replicated route table and the evacuated zones.

use medlarlug_core::gateway::{
    publication::{Command, Publication},
    table::TableVersion,
};
use serde_bytes::ByteBuf;

fn publish(version: u64, document: &str) -> Command {
    Command::Publish {
        version: TableVersion(version),
        document: ByteBuf::from(document.as_bytes().to_vec()),
    }
}

fn after(commands: Vec<Command>) -> Publication {
    let mut state = Publication::default();
    commands.into_iter().for_each(|command| state.apply(command));
    state
}

#[test]
fn higher_version_replaces_the_table() {
    let state = after(vec![publish(3, "three"), publish(7, "seven")]);

    assert_eq!((state.version(), state.document()), (TableVersion(7), &b"seven"[..]));
}

#[test]
fn lower_version_changes_nothing() {
    let state = after(vec![publish(7, "seven"), publish(3, "three")]);

    assert_eq!((state.version(), state.document()), (TableVersion(7), &b"seven"[..]));
}

#[test]
fn other_content_under_the_same_version_changes_nothing() {
    let state = after(vec![publish(7, "seven"), publish(7, "other")]);

    assert_eq!(state.document(), b"seven");
}

#[test]
fn repeated_evacuation_counts_once() {
    let zone = || "kochi-a".parse().unwrap();

    let once = after(vec![Command::Evacuate(zone())]);
    let twice = after(vec![Command::Evacuate(zone()), Command::Evacuate(zone())]);

    assert_eq!(once, twice);
    assert_eq!((once.evacuated(), once.round()), (&[zone()][..], 1));
}

#[test]
fn withdrawn_evacuation_leaves_no_zone_and_a_higher_round() {
    let zone = || "kochi-a".parse().unwrap();

    let state = after(vec![Command::Evacuate(zone()), Command::Restore(zone())]);

    assert_eq!((state.evacuated().len(), state.round()), (0, 2));
}

#[test]
fn snapshot_restores_the_state() {
    let zone = "kochi-a".parse().unwrap();
    let state = after(vec![publish(7, "seven"), Command::Evacuate(zone)]);

    let restored = Publication::decode_snapshot(&state.encode_snapshot()).unwrap();

    assert_eq!(restored, state);
}
