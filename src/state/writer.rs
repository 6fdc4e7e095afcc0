//! The writer: a thread that writes and syncs, so that the event loop never waits for a disk.
//!
//! All batches that arrive during one sync are written together and share the next sync (group
//! commit).

use std::{path::PathBuf, sync::mpsc, thread, time::Duration};

use medlarlug_core::replication::Persist;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::{
    error::{Operation, StateError},
    group::GroupName,
    journal::Journal,
};

const MAX_BATCHES_PER_SYNC: usize = 1_024;
/// Length of the commands in the batches of a sync from which on no further batch is added. A frame is
/// encoded in memory.
const MAX_BYTES_PER_SYNC: usize = 4 << 20;

/// All batches of `group` up to `sequence` are synced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Synced {
    /// Replication group whose batches are synced.
    pub group: GroupName,
    /// Sequence number of its last synced batch.
    pub sequence: u64,
}

/// A report of the writer. After an error it continues with a new file as soon as the disk accepts
/// writes again.
pub type SyncResult = Result<Synced, StateError>;

#[derive(Debug)]
enum Target {
    Disk(mpsc::Sender<(GroupName, Persist)>),
    Memory(UnboundedSender<SyncResult>),
}

/// Accepts batches of all replication groups of a process and reports when they are synced.
#[derive(Debug)]
pub struct Writer {
    target: Target,
}

impl Writer {
    /// Starts a thread that writes to `journal`. It reports each error of the disk, and continues with a
    /// new file once the disk accepts writes. Until then it reports no batch as synced. The thread ends
    /// when the writer is dropped and all accepted batches are synced.
    ///
    /// # Errors
    ///
    /// The operating system starts no thread.
    pub fn start(
        mut journal: Journal,
    ) -> Result<(Writer, UnboundedReceiver<SyncResult>), StateError> {
        let (sender, batches) = mpsc::channel();
        let (reports, receiver) = unbounded_channel();
        thread::Builder::new()
            .name("journal".into())
            .spawn(move || write_batches(&mut journal, &batches, &reports))
            .map_err(StateError::io(Operation::Start, PathBuf::from("journal")))?;
        Ok((Writer { target: Target::Disk(sender) }, receiver))
    }

    /// A writer for a process without a disk: it stores nothing and reports every batch as synced at
    /// once.
    pub fn volatile() -> (Writer, UnboundedReceiver<SyncResult>) {
        let (reports, receiver) = unbounded_channel();
        (Writer { target: Target::Memory(reports) }, receiver)
    }

    /// Queues a batch. If the thread has ended, the batch is dropped and the reports end as well.
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

/// Time after a disk error until the next write is attempted.
const RETRY_DELAY: Duration = Duration::from_millis(200);

fn write_batches(
    journal: &mut Journal,
    batches: &mpsc::Receiver<(GroupName, Persist)>,
    reports: &UnboundedSender<SyncResult>,
) {
    while let Ok(first) = batches.recv() {
        let pending = with_waiting(first, batches);
        let synced = last_sequences(&pending);
        let mut result = journal.append(pending.clone());
        let mut missing = pending;
        while let Err(error) = result {
            // A closed channel means that the process is shutting down.
            if reports.send(Err(error)).is_err() {
                return;
            }
            thread::sleep(RETRY_DELAY);
            result = journal.recover(std::mem::take(&mut missing));
        }
        if let Err(error) = journal.rotate() {
            // The current file holds everything; the next write tries again to start a new file.
            tracing::warn!(%error, "failed to start a new journal file");
        }
        for report in synced {
            let _ = reports.send(Ok(report));
        }
    }
}

/// The batches of the next sync: `first` and those that have arrived since.
fn with_waiting(
    first: (GroupName, Persist),
    batches: &mpsc::Receiver<(GroupName, Persist)>,
) -> Vec<(GroupName, Persist)> {
    let mut bytes = first.1.payload_bytes();
    let mut pending = vec![first];
    while pending.len() < MAX_BATCHES_PER_SYNC && bytes < MAX_BYTES_PER_SYNC {
        let Ok(next) = batches.try_recv() else { break };
        bytes += next.1.payload_bytes();
        pending.push(next);
    }
    pending
}

/// The last sequence number of each group, sorted by group name.
fn last_sequences(batches: &[(GroupName, Persist)]) -> Vec<Synced> {
    let mut synced: Vec<Synced> = Vec::new();
    for (group, batch) in batches {
        match synced.binary_search_by(|it| it.group.cmp(group)) {
            Ok(index) => synced[index].sequence = batch.sequence,
            Err(index) => {
                synced.insert(index, Synced { group: group.clone(), sequence: batch.sequence })
            }
        }
    }
    synced
}
