//! The writer: a thread that writes and syncs, so that the process's loop never waits for a disk.
//!
//! Whatever arrives during one sync is written together and shares the next one (group commit).

use std::{path::PathBuf, sync::mpsc, thread, time::Duration};

use medlarlug_core::replication::Persist;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{
    error::{Operation, StateError},
    group::GroupName,
    journal::Journal,
};

/// Most batches that share one sync.
const MAX_BATCHES: usize = 1_024;

/// Everything of `group` up to `sequence` is synced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Synced {
    /// The group.
    pub group: GroupName,
    /// Sequence number of its last synced batch.
    pub sequence: u64,
}

/// What the writer reports. After an error it writes nothing more, unless it is a persistent one:
/// then it goes on with a new file as soon as the disk takes it.
pub type SyncResult = Result<Synced, StateError>;

#[derive(Debug)]
enum Target {
    Disk(mpsc::Sender<(GroupName, Persist)>),
    Memory(UnboundedSender<SyncResult>),
}

/// Takes batches of all groups of a process and reports when they are synced.
#[derive(Debug)]
pub struct Writer {
    target: Target,
}

impl Writer {
    /// Starts the thread that writes to `journal`. It ends when the writer is dropped and
    /// everything handed over is synced.
    ///
    /// # Errors
    ///
    /// The operating system starts no thread.
    pub fn start(journal: Journal) -> Result<(Writer, UnboundedReceiver<SyncResult>), StateError> {
        Self::spawn(journal, write_all)
    }

    /// The same with a writer that survives failures of the disk: it reports each, and goes on
    /// with a new file once the disk takes it. Nothing is reported as synced meanwhile.
    ///
    /// # Errors
    ///
    /// The operating system starts no thread.
    pub fn start_persistent(
        journal: Journal,
    ) -> Result<(Writer, UnboundedReceiver<SyncResult>), StateError> {
        Self::spawn(journal, write_persistently)
    }

    fn spawn(
        mut journal: Journal,
        write: Loop,
    ) -> Result<(Writer, UnboundedReceiver<SyncResult>), StateError> {
        let (sender, batches) = mpsc::channel();
        let (reports, receiver) = unbounded_channel();
        thread::Builder::new()
            .name("journal".into())
            .spawn(move || write(&mut journal, &batches, &reports))
            .map_err(StateError::io(Operation::Start, PathBuf::from("journal")))?;
        Ok((Writer { target: Target::Disk(sender) }, receiver))
    }

    /// A writer for a process without a disk: it keeps nothing and reports at once.
    pub fn volatile() -> (Writer, UnboundedReceiver<SyncResult>) {
        let (reports, receiver) = unbounded_channel();
        (Writer { target: Target::Memory(reports) }, receiver)
    }

    /// Hands a batch over. After a failure of the disk it is dropped: the failure was reported.
    pub fn persist(&self, group: GroupName, batch: Persist) {
        match &self.target {
            Target::Disk(sender) => {
                let _ = sender.send((group, batch));
            }
            Target::Memory(reports) => {
                let _ = reports.send(Ok(Synced { group, sequence: batch.sequence }));
            }
        }
    }
}

/// The loop of the writer's thread.
type Loop = fn(&mut Journal, &mpsc::Receiver<(GroupName, Persist)>, &UnboundedSender<SyncResult>);

/// Pause before the disk is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

fn write_persistently(
    journal: &mut Journal,
    batches: &mpsc::Receiver<(GroupName, Persist)>,
    reports: &UnboundedSender<SyncResult>,
) {
    while let Ok(first) = batches.recv() {
        let mut together = vec![first];
        together.extend(batches.try_iter().take(MAX_BATCHES - 1));
        let synced = last_sequences(&together);
        let mut result = journal.append(together.clone());
        let mut missing = together;
        while let Err(error) = result {
            // A closed channel means that the process is ending.
            if reports.send(Err(error)).is_err() {
                return;
            }
            thread::sleep(RETRY_PAUSE);
            result = journal.recover(std::mem::take(&mut missing));
        }
        if let Err(error) = journal.rotate() {
            // The present file holds everything; a smaller one is begun after a later write.
            tracing::warn!(%error, "failed to begin a new journal file");
        }
        for report in synced {
            let _ = reports.send(Ok(report));
        }
    }
}

fn write_all(
    journal: &mut Journal,
    batches: &mpsc::Receiver<(GroupName, Persist)>,
    reports: &UnboundedSender<SyncResult>,
) {
    while let Ok(first) = batches.recv() {
        let mut together = vec![first];
        together.extend(batches.try_iter().take(MAX_BATCHES - 1));
        let synced = last_sequences(&together);
        if let Err(error) = journal.write(together) {
            let _ = reports.send(Err(error));
            return;
        }
        for report in synced {
            let _ = reports.send(Ok(report));
        }
    }
}

/// The last batch of each group.
fn last_sequences(batches: &[(GroupName, Persist)]) -> Vec<Synced> {
    let mut synced: Vec<Synced> = Vec::new();
    for (group, batch) in batches {
        match synced.binary_search_by(|own| own.group.cmp(group)) {
            Ok(at) => synced[at].sequence = batch.sequence,
            Err(at) => synced.insert(at, Synced { group: group.clone(), sequence: batch.sequence }),
        }
    }
    synced
}
