//! Durable state: the data folder, the journal and its writer.

use std::{fs, path::PathBuf};

use assert_matches::assert_matches;
use medlarlug::state::{
    DataFolder, GroupName, Journal, SavedConfiguration, StateError, Synced, Writer,
};
use medlarlug_core::{
    ids::{LogIndex, Revision, Term},
    release::Configuration,
    replication::{
        Entry, FormationId, HardState, Membership, Payload, Persist, Snapshot, StoredState,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tempfile::TempDir;
use test_support::{id, region};

fn open(path: &TempDir) -> DataFolder {
    DataFolder::open(path.path(), &id("keeper-1")).expect("a data folder")
}

fn entries(first: u64, count: u64, bytes: usize) -> Vec<Entry> {
    let entry = |index| Entry {
        index: LogIndex(index),
        term: Term(1),
        payload: Payload::Command(vec![index as u8; bytes].into()),
    };
    (first..first + count).map(entry).collect()
}

fn append(sequence: u64, first: u64, count: u64) -> Persist {
    Persist { sequence, entries: entries(first, count, 100), ..Persist::default() }
}

/// An entry that is long enough for the journal to start a new file once it is obsolete.
fn large(sequence: u64, index: u64) -> Persist {
    Persist { sequence, entries: entries(index, 1, 5 << 20), ..Persist::default() }
}

/// Replaces the entry with this index by a short one.
fn replace(sequence: u64, index: u64) -> Persist {
    Persist { cut: Some(LogIndex(index)), ..append(sequence, index, 1) }
}

fn snapshot(index: u64) -> Snapshot {
    Snapshot {
        index: LogIndex(index),
        term: Term(1),
        members: Membership::new(FormationId(1), Vec::new()),
        data: vec![7; 50].into(),
    }
}

fn journal_file(path: &TempDir) -> PathBuf {
    let files = fs::read_dir(path.path()).expect("a folder").map(|item| item.unwrap().path());
    let is_journal = |path: &PathBuf| path.to_str().unwrap().contains("journal-");
    let mut found: Vec<PathBuf> = files.filter(is_journal).collect();
    assert_eq!(found.len(), 1);
    found.remove(0)
}

/// Writes three records of group `g`; returns the length of the journal after each.
fn write_records(path: &TempDir) -> Vec<u64> {
    let mut journal = Journal::open(&open(path)).expect("a journal");
    let mut lengths = Vec::new();
    for sequence in 1..=3 {
        journal.write(vec![(id("g"), append(sequence, sequence, 1))]).expect("a write");
        lengths.push(journal.length());
    }
    lengths
}

#[test]
fn folder_keeps_its_storage_id_until_it_is_emptied() {
    let path = TempDir::new().unwrap();
    let first = open(&path).storage();

    let again = open(&path).storage();
    for item in fs::read_dir(path.path()).unwrap() {
        fs::remove_file(item.unwrap().path()).unwrap();
    }
    let after_loss = open(&path).storage();

    assert_eq!(first, again);
    assert_ne!(first, after_loss);
}

#[test]
fn folder_of_another_instance_is_refused() {
    let path = TempDir::new().unwrap();
    drop(open(&path));

    let result = DataFolder::open(path.path(), &id("keeper-2"));

    assert_matches!(result, Err(StateError::WrongOwner { owner, .. }) if owner == id("keeper-1"));
}

#[test]
fn folder_in_use_is_refused() {
    let path = TempDir::new().unwrap();
    let _folder = open(&path);

    let result = DataFolder::open(path.path(), &id("keeper-1"));

    assert_matches!(result, Err(StateError::InUse { .. }));
}

#[test]
fn folder_without_its_journal_is_refused() {
    let path = TempDir::new().unwrap();
    write_records(&path);
    fs::remove_file(journal_file(&path)).unwrap();

    let result = Journal::open(&open(&path));

    assert_matches!(result, Err(StateError::MissingJournal { .. }));
}

#[test]
fn folder_without_its_owner_is_refused() {
    let path = TempDir::new().unwrap();
    write_records(&path);
    fs::remove_file(path.path().join("owner")).unwrap();

    let result = DataFolder::open(path.path(), &id("keeper-1"));

    assert_matches!(result, Err(StateError::MissingOwner { .. }));
    journal_file(&path);
}

#[test]
fn interrupted_creation_is_completed() {
    let path = TempDir::new().unwrap();
    drop(open(&path));
    fs::remove_file(path.path().join("owner")).unwrap();

    let journal = Journal::open(&open(&path)).expect("a journal");

    assert!(journal.groups().is_empty());
}

#[test]
fn torn_tail_is_truncated_at_every_length() {
    let path = TempDir::new().unwrap();
    let lengths = write_records(&path);
    let file = journal_file(&path);
    let original = fs::read(&file).unwrap();

    for length in lengths[1]..lengths[2] {
        fs::write(&file, &original[..length as usize]).unwrap();
        let journal = Journal::open(&open(&path)).expect("a journal");

        assert_eq!(journal.group(&id("g")).entries, entries(1, 2, 100));
        assert_eq!(fs::metadata(&file).unwrap().len(), lengths[1]);
    }
}

#[test]
fn torn_tail_of_zeros_is_truncated_and_overwritten() {
    let path = TempDir::new().unwrap();
    let lengths = write_records(&path);
    let file = journal_file(&path);
    let mut bytes = fs::read(&file).unwrap();
    bytes[lengths[1] as usize..].fill(0);
    fs::write(&file, &bytes).unwrap();

    let mut journal = Journal::open(&open(&path)).expect("a journal");
    journal.write(vec![(id("g"), append(3, 3, 2))]).expect("a write");
    drop(journal);

    let journal = Journal::open(&open(&path)).expect("a journal");
    assert_eq!(journal.group(&id("g")).entries, entries(1, 4, 100));
}

#[test]
fn damage_before_the_last_record_is_an_error_at_every_byte() {
    let path = TempDir::new().unwrap();
    let lengths = write_records(&path);
    let file = journal_file(&path);
    let original = fs::read(&file).unwrap();

    for at in 0..lengths[1] as usize {
        let mut bytes = original.clone();
        bytes[at] ^= 0x10;
        fs::write(&file, &bytes).unwrap();

        let result = Journal::open(&open(&path));

        assert_matches!(result, Err(StateError::Corrupt { .. }), "byte {at}");
    }
}

#[test]
fn snapshots_bound_the_journal() {
    let path = TempDir::new().unwrap();
    let mut journal = Journal::open(&open(&path)).expect("a journal");
    let mut largest = 0;

    for sequence in 1..=300 {
        let mut batch =
            Persist { entries: entries(sequence, 1, 100_000), sequence, ..Persist::default() };
        batch.snapshot = (sequence > 10).then(|| snapshot(sequence - 10));
        journal.write(vec![(id("g"), batch)]).expect("a write");
        largest = largest.max(journal.length());
    }

    let group = Journal::open(&open(&path)).expect("a journal").group(&id("g"));
    assert_eq!(group.entries.len(), 10);
    assert_eq!(group.snapshot, Some(snapshot(290)));
    assert!(largest < 8 << 20, "the journal reached {largest} bytes for 1 MB of state");
    journal_file(&path);
}

/// Guards against copies of the whole log at a start: a keeper that was killed over its memory limit
/// was killed again for as long as it read the same folder.
#[test]
fn restored_state_shares_its_bytes_with_the_journal() {
    let path = TempDir::new().unwrap();
    let mut journal = Journal::open(&open(&path)).expect("a journal");
    journal.write(vec![(id("g"), append(1, 1, 3))]).expect("a write");
    drop(journal);

    let journal = Journal::open(&open(&path)).expect("a journal");
    let (first, second) = (journal.group(&id("g")), journal.group(&id("g")));

    let address = |state: &StoredState| match &state.entries[0].payload {
        Payload::Command(bytes) => bytes.as_ptr(),
        _ => panic!("a command is stored"),
    };
    assert_eq!(address(&first), address(&second));
}

/// Guards against a file that stays as long as it once was: it was replaced only after it had grown by the
/// length of its checkpoint again, for which a disk may have no room.
#[test]
fn file_with_a_long_log_is_replaced_once_the_log_is_compacted() {
    let path = TempDir::new().unwrap();
    let mut journal = Journal::open(&open(&path)).unwrap();
    // A checkpoint with the long log.
    let long = Persist { sequence: 1, entries: entries(1, 40, 1 << 20), ..Persist::default() };
    journal.recover(vec![(id("g"), long)]).unwrap();
    assert!(journal.length() > 40 << 20);

    let compacted = Persist { sequence: 2, snapshot: Some(snapshot(40)), ..Persist::default() };
    journal.write(vec![(id("g"), compacted)]).unwrap();

    assert!(journal.length() < 1 << 20, "{} bytes", journal.length());
    drop(journal);
    let journal = Journal::open(&open(&path)).unwrap();
    assert_eq!(journal.group(&id("g")).snapshot, Some(snapshot(40)));
    journal_file(&path);
}

/// A rotation fails halfway: the new file may have its name after a loss of power. Guards against
/// records that are acknowledged from the old file, which a restart then removes.
#[test]
fn nothing_is_appended_to_a_journal_file_that_may_have_been_replaced() {
    let path = TempDir::new().unwrap();
    let mut journal = Journal::open(&open(&path)).unwrap();
    // A folder in place of the next file makes the rename fail.
    let blocked = path.path().join("journal-00000002");
    fs::create_dir(&blocked).unwrap();
    fs::create_dir(blocked.join("full")).unwrap();
    journal.append(vec![(id("g"), large(1, 1)), (id("g"), replace(2, 1))]).unwrap();

    let rotated = journal.rotate();
    let appended = journal.append(vec![(id("g"), append(3, 2, 1))]);
    fs::remove_dir_all(&blocked).unwrap();
    journal.recover(vec![(id("g"), append(3, 2, 1))]).unwrap();
    journal.append(vec![(id("g"), append(4, 3, 1))]).unwrap();

    assert_matches!(rotated, Err(StateError::Io { .. }));
    assert_matches!(appended, Err(StateError::Superseded { .. }));
    drop(journal);
    let journal = Journal::open(&open(&path)).unwrap();
    let indexes: Vec<u64> = journal.group(&id("g")).entries.iter().map(|it| it.index.0).collect();
    assert_eq!(indexes, [1, 2, 3]);
    journal_file(&path);
}

fn random_batch(rng: &mut ChaCha8Rng, sequence: u64, model: &StoredState) -> Persist {
    let base = model.snapshot.as_ref().map_or(0, |snapshot| snapshot.index.0);
    let last = model.entries.last().map_or(base, |entry| entry.index.0);
    let mut batch = Persist { sequence, ..Persist::default() };
    let mut next = last + 1;
    match rng.random_range(0..6) {
        0 => batch.hard = Some(HardState { term: Term(sequence), vote: None }),
        1 if last > base => batch.snapshot = Some(snapshot(rng.random_range(base + 1..=last))),
        2 if last > base => {
            next = rng.random_range(base + 1..=last);
            batch.cut = Some(LogIndex(next));
        }
        _ => {}
    }
    let count = rng.random_range(0..4);
    batch.entries = entries(next, count, 2_000);
    batch
}

#[test]
fn journal_equals_a_reference_model_over_restarts() {
    let groups: [GroupName; 3] = [id("a"), id("b"), id("c")];
    for seed in 0..10 {
        let path = TempDir::new().unwrap();
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut models = [StoredState::default(), StoredState::default(), StoredState::default()];
        for round in 0..10 {
            let mut journal = Journal::open(&open(&path)).expect("a journal");
            for step in 0..20 {
                let at = rng.random_range(0..3);
                let batch = random_batch(&mut rng, round * 20 + step, &models[at]);
                models[at].write(batch.clone());
                journal.write(vec![(groups[at].clone(), batch)]).expect("a write");
            }
            drop(journal);

            let journal = Journal::open(&open(&path)).expect("a journal");
            for (group, model) in groups.iter().zip(&models) {
                assert_eq!(journal.group(group), *model, "seed {seed}, round {round}");
            }
        }
    }
}

#[test]
fn writer_reports_what_is_on_disk() {
    let path = TempDir::new().unwrap();
    let folder = open(&path);
    let (writer, mut reports) = Writer::start(Journal::open(&folder).unwrap()).unwrap();

    for sequence in 1..=50 {
        writer.persist(id("g"), append(sequence, sequence, 1));
        writer.persist(id("h"), append(sequence, sequence, 1));
    }
    let mut last = Vec::new();
    while !last.contains(&Synced { group: id("g"), sequence: 50 })
        || !last.contains(&Synced { group: id("h"), sequence: 50 })
    {
        last.push(reports.blocking_recv().expect("a report").expect("a sync"));
    }

    let journal = Journal::open(&folder).unwrap();
    assert_eq!(journal.group(&id("g")).entries.len(), 50);
    assert_eq!(journal.group(&id("h")).entries.len(), 50);
}

/// Guards against a batch that is reported as synced although the disk refused it.
#[test]
fn writer_reports_failures_and_syncs_nothing_until_the_disk_accepts_writes() {
    let path = TempDir::new().unwrap();
    let folder = open(&path);
    let (writer, mut reports) = Writer::start(Journal::open(&folder).unwrap()).unwrap();
    // A folder in place of the next file makes its creation fail halfway, so that nothing may be
    // appended to the present one any more.
    let blocked = path.path().join("journal-00000002");
    fs::create_dir(&blocked).unwrap();
    fs::create_dir(blocked.join("full")).unwrap();
    writer.persist(id("g"), large(1, 1));
    assert_matches!(reports.blocking_recv(), Some(Ok(Synced { sequence: 1, .. })));
    writer.persist(id("g"), replace(2, 1));
    assert_matches!(reports.blocking_recv(), Some(Ok(Synced { sequence: 2, .. })));

    writer.persist(id("g"), append(3, 2, 1));
    assert_matches!(reports.blocking_recv(), Some(Err(StateError::Superseded { .. })));
    for _ in 0..3 {
        assert_matches!(reports.blocking_recv(), Some(Err(StateError::Io { .. })));
    }
    fs::remove_dir_all(&blocked).unwrap();
    let synced = std::iter::from_fn(|| reports.blocking_recv()).find(Result::is_ok);

    assert_matches!(synced, Some(Ok(Synced { sequence: 3, .. })));
    drop((writer, folder));
    let journal = Journal::open(&open(&path)).unwrap();
    let indexes: Vec<u64> = journal.group(&id("g")).entries.iter().map(|it| it.index.0).collect();
    assert_eq!(indexes, [1, 2]);
}

/// While no new journal file can be created, records are still synced to the present file; once
/// creation works again, the journal holds every record exactly once.
#[test]
fn persistent_writer_continues_while_no_new_journal_file_can_be_created() {
    let path = TempDir::new().unwrap();
    let folder = open(&path);
    let journal = Journal::open(&folder).unwrap();
    let (writer, mut reports) = Writer::start(journal).unwrap();
    writer.persist(id("g"), append(1, 1, 1));
    assert_matches!(reports.blocking_recv(), Some(Ok(Synced { sequence: 1, .. })));

    // A folder under the temporary name of the next file makes every attempt to create it fail.
    let blocked = path.path().join("journal-00000002.new");
    fs::create_dir(&blocked).unwrap();
    fs::create_dir(blocked.join("full")).unwrap();
    writer.persist(id("g"), large(2, 2));
    assert_matches!(reports.blocking_recv(), Some(Ok(Synced { sequence: 2, .. })));
    writer.persist(id("g"), replace(3, 2));
    assert_matches!(reports.blocking_recv(), Some(Ok(Synced { sequence: 3, .. })));
    writer.persist(id("g"), append(4, 3, 1));
    assert_matches!(reports.blocking_recv(), Some(Ok(Synced { sequence: 4, .. })));
    fs::remove_dir_all(&blocked).unwrap();
    writer.persist(id("g"), append(5, 4, 1));
    assert_matches!(reports.blocking_recv(), Some(Ok(Synced { sequence: 5, .. })));

    drop((writer, folder));
    let journal = Journal::open(&open(&path)).unwrap();
    let indexes: Vec<u64> = journal.group(&id("g")).entries.iter().map(|it| it.index.0).collect();
    assert_eq!(indexes, [1, 2, 3, 4]);
}

/// Recovery after a failed write doesn't append to the old file, whose tail may be damaged: it
/// writes the complete state to a new file.
#[test]
fn journal_recovers_into_a_new_file() {
    let path = TempDir::new().unwrap();
    let folder = open(&path);
    let mut journal = Journal::open(&folder).unwrap();
    journal.append(vec![(id("g"), append(1, 1, 1))]).unwrap();

    journal.recover(vec![(id("g"), append(2, 2, 1))]).unwrap();
    journal.append(vec![(id("g"), append(3, 3, 1))]).unwrap();

    drop(journal);
    let journal = Journal::open(&folder).unwrap();
    let indexes: Vec<u64> = journal.group(&id("g")).entries.iter().map(|it| it.index.0).collect();
    assert_eq!(indexes, [1, 2, 3]);
}

#[test]
fn volatile_writer_reports_at_once() {
    let (writer, mut reports) = Writer::volatile();

    writer.persist(id("g"), append(1, 1, 1));

    assert_matches!(reports.try_recv(), Ok(Ok(Synced { sequence: 1, .. })));
}

#[test]
fn saved_configuration_reads_back_and_a_damaged_one_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let data = DataFolder::open(folder.path(), &id("entry-1")).unwrap();
    let saved = SavedConfiguration::new(&data);
    let items = vec![region("riga", &["riga-a"])];
    let configuration = Configuration::new(Revision(7), items);

    assert_eq!(saved.read().unwrap(), None);
    saved.write(&configuration).unwrap();
    assert_eq!(saved.read().unwrap(), Some(configuration));

    let file = folder.path().join("configuration");
    let mut bytes = std::fs::read(&file).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    std::fs::write(&file, bytes).unwrap();
    assert_matches!(saved.read(), Err(StateError::Corrupt { .. }));
}

#[test]
fn lock_is_released_with_the_folder_while_a_duplicate_descriptor_is_open() {
    let path = TempDir::new().unwrap();
    let folder = open(&path);
    // A forked child holds such a duplicate.
    let duplicate = folder.lock_file().try_clone().expect("a duplicate descriptor");

    drop(folder);
    let again = DataFolder::open(path.path(), &id("keeper-1"));

    assert_matches!(again, Ok(_));
    drop(duplicate);
}
