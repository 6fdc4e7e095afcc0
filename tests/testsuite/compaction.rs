//! Memory and disk of a replication group whose state is replaced again and again.

use std::time::Duration;

use medlarlug::{
    coordination::keeper::{
        group::{Caller, Group, Output},
        machine::StateMachine,
        storage::group_name,
    },
    protocol::{GroupId, GroupRequest},
    state::{DataFolder, Journal},
};
use medlarlug_core::{
    gateway::{publication::Command, table::TableVersion},
    replication::{Config, MemberKey, Replica, StoredState},
    time::Time,
};
use serde_bytes::ByteBuf;
use tempfile::TempDir;
use test_support::id;

/// Length of a published document.
const DOCUMENT_BYTES: usize = 100_000;

/// A group with a single voter and its journal.
struct Fixture {
    path: TempDir,
    group: Group,
    journal: Journal,
    now: Time,
    /// Longest commands and snapshot that the journal held, in bytes. The log of the replica holds the
    /// same ones.
    peak_state: usize,
    /// Largest data folder, in bytes.
    peak_folder: u64,
}

impl Fixture {
    fn start() -> Fixture {
        let path = TempDir::new().unwrap();
        let folder = DataFolder::open(path.path(), &id("keeper-1")).unwrap();
        let journal = Journal::open(&folder).unwrap();
        let key = MemberKey { id: id("keeper-1"), storage: folder.storage() };
        let config = Config::new(key.clone(), vec![key.id]);
        let replica = Replica::new(config, StoredState::default(), 1, Time::ZERO);
        let id = GroupId::Publication;
        let group = Group::new(id.clone(), replica, StateMachine::new(&id));
        let now = Time::ZERO;
        let mut fixture = Fixture { path, group, journal, now, peak_state: 0, peak_folder: 0 };
        let mut out = Vec::new();
        fixture.group.tick(now, &mut out).unwrap();
        fixture.carry_out(out);
        assert!(fixture.group.is_leader());
        fixture
    }

    fn publish(&mut self, version: u64) {
        self.now = self.now + Duration::from_millis(10);
        let document = ByteBuf::from(vec![version as u8; DOCUMENT_BYTES]);
        let command = Command::Publish { version: TableVersion(version), document };
        let caller = Caller { instance: id("keeper-1"), call: version };
        let mut out = Vec::new();
        let request = GroupRequest::Publish(command);
        self.group.call(self.now, caller, request, &mut out).unwrap();
        self.carry_out(out);
    }

    /// Stores batches and confirms them until nothing is left to store.
    fn carry_out(&mut self, mut out: Vec<Output>) {
        while let Some(at) = out.iter().position(|it| matches!(it, Output::Persist(_))) {
            let Output::Persist(batch) = out.remove(at) else { continue };
            let sequence = batch.sequence;
            self.journal.write(vec![(group_name(self.group.id()), batch)]).unwrap();
            self.measure();
            self.group.persisted(self.now, sequence, &mut out).unwrap();
        }
    }

    fn measure(&mut self) {
        let state = self.journal.group(&group_name(self.group.id()));
        let commands: usize = state.entries.iter().map(|it| it.payload.len()).sum();
        let snapshot = state.snapshot.map_or(0, |it| it.data.len());
        self.peak_state = self.peak_state.max(commands + snapshot);
        let files = std::fs::read_dir(self.path.path()).unwrap();
        let folder = files.map(|it| it.unwrap().metadata().unwrap().len()).sum();
        self.peak_folder = self.peak_folder.max(folder);
    }
}

/// Peak length of the state in bytes, and of the data folder, over some publications.
fn peaks(publications: u64) -> (usize, u64) {
    let mut fixture = Fixture::start();
    for version in 1..=publications {
        fixture.publish(version);
    }
    let publication = fixture.group.state_machine().publication().unwrap();
    assert_eq!(publication.version(), TableVersion(publications));
    (fixture.peak_state, fixture.peak_folder)
}

/// Guards against a log that is compacted by its number of entries only: with long commands, memory
/// and disk of the keepers grew with everything ever published, until the platform killed them.
#[test]
fn memory_and_disk_follow_the_newest_document_and_not_the_number_of_publications() {
    let few = peaks(200);
    let many = peaks(800);

    assert!(many.0 as f64 <= 1.1 * few.0 as f64, "state of {} and {} bytes", few.0, many.0);
    assert!(many.1 as f64 <= 1.1 * few.1 as f64, "folder of {} and {} bytes", few.1, many.1);
    assert!(many.1 <= 40 << 20, "folder of {} bytes", many.1);
}
