//! The journal: one file of frames for all replication groups of a process.
//!
//! The first frame is a checkpoint with the complete state of every group; each further frame holds
//! the batches that were written and synced together. Once more than half of the file is obsolete, it
//! is replaced by a new file that starts with a checkpoint of the current state. Disk usage is
//! therefore proportional to the current state and not to everything ever written. The same holds for
//! memory: files are read frame by frame, and checkpoints are written piece by piece.
//!
//! Exactly one frame is written between two syncs. A damaged frame that no intact frame follows is
//! therefore the one that was being written during a crash and was never acknowledged. Opening the
//! journal truncates it, together with the zeros that preallocate the file. Any other damage is an
//! error.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, BufReader, Read, Seek, SeekFrom},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use medlarlug_core::replication::{Persist, StoredState};

use super::{
    error::{Operation, StateError},
    folder::{DataFolder, TemporaryFile},
    frame,
    group::GroupName,
};

const FILE_NAME_PREFIX: &str = "journal-";
/// Length of the obsolete part of the file below which no new file is started.
const MIN_OBSOLETE_BYTES: u64 = 4 << 20;
/// Preallocated length: with it, a sync need not write a new file size.
const PREALLOCATION_BYTES: u64 = 1 << 20;

/// The stored state of each group, sorted by group name.
pub type Groups = Vec<(GroupName, StoredState)>;
/// Batches that one frame holds and one sync makes durable.
pub type Batches = Vec<(GroupName, Persist)>;

/// The journal of a data folder.
///
/// ```
/// use medlarlug::state::{DataFolder, Journal};
/// use medlarlug_core::{ids::Term, replication::{HardState, Persist}};
///
/// let path = tempfile::tempdir().unwrap();
/// let folder = DataFolder::open(path.path(), &"keeper-1".parse().unwrap()).unwrap();
/// let hard = HardState { term: Term(3), vote: None };
/// let batch = Persist { sequence: 1, hard: Some(hard), ..Persist::default() };
///
/// let mut journal = Journal::open(&folder).unwrap();
/// journal.write(vec![("configuration".parse().unwrap(), batch)]).unwrap();
/// drop(journal);
///
/// let journal = Journal::open(&folder).unwrap();
/// assert_eq!(journal.groups()[0].1.hard.term, Term(3));
/// ```
#[derive(Debug)]
pub struct Journal {
    folder: PathBuf,
    file: File,
    file_number: u64,
    next_frame: u64,
    /// Length of the commands and snapshots in the current state.
    state_bytes: u64,
    /// Length of the checkpoint and all frames.
    length_bytes: u64,
    /// Length of the file; the part behind [`Self::length_bytes`] holds zeros.
    allocated_bytes: u64,
    /// Whether a newer file may have got its name although its creation failed. A restart would then
    /// read that one, so nothing may be appended to this one any more.
    is_superseded: bool,
    groups: Groups,
}

impl Journal {
    /// Opens the journal of `folder` and truncates a torn last frame.
    ///
    /// # Errors
    ///
    /// The journal is missing or corrupt, or cannot be read or written.
    pub fn open(folder: &DataFolder) -> Result<Journal, StateError> {
        let path = folder.path();
        let Some(file_number) = remove_stale_files(path)? else {
            return Err(StateError::MissingJournal { path: path.into() });
        };
        let name = path.join(file_name(file_number));
        let mut file = OpenOptions::new()
            .read(true)
            .write(true)
            .open(&name)
            .map_err(StateError::io(Operation::Open, &name))?;
        let metadata = file.metadata().map_err(StateError::io(Operation::Read, &name))?;
        let content = read(&name, &mut file, metadata.len())?;
        if content.length_bytes < metadata.len() {
            file.set_len(content.length_bytes).map_err(StateError::io(Operation::Write, &name))?;
            file.sync_all().map_err(StateError::io(Operation::Sync, &name))?;
        }
        Ok(Journal {
            folder: path.into(),
            file,
            file_number,
            next_frame: content.next_frame,
            state_bytes: state_bytes(&content.groups),
            length_bytes: content.length_bytes,
            allocated_bytes: content.length_bytes,
            is_superseded: false,
            groups: content.groups,
        })
    }

    /// The stored state of each group, sorted by group name.
    pub fn groups(&self) -> &[(GroupName, StoredState)] {
        &self.groups
    }

    /// The stored state of one group; the default state for a group without entries.
    pub fn group(&self, group: &GroupName) -> StoredState {
        let index = self.groups.binary_search_by(|(name, _)| name.cmp(group));
        index.map(|index| self.groups[index].1.clone()).unwrap_or_default()
    }

    /// Length of the checkpoint and all frames, in bytes, without the preallocated part.
    pub fn length(&self) -> u64 {
        self.length_bytes
    }

    /// Writes the batches, syncs them once and starts a new file when more of the current one is
    /// obsolete than in use.
    ///
    /// # Errors
    ///
    /// Those of [`Journal::append`] and [`Journal::rotate`].
    pub fn write(&mut self, batches: Batches) -> Result<(), StateError> {
        self.append(batches)?;
        self.rotate()
    }

    /// Writes the batches and syncs them, without starting a new file.
    ///
    /// # Errors
    ///
    /// The write or sync failed, or an earlier rotation left a newer file; only [`Journal::recover`] may
    /// be called next.
    pub fn append(&mut self, batches: Batches) -> Result<(), StateError> {
        let name = self.folder.join(file_name(self.file_number));
        if self.is_superseded {
            return Err(StateError::Superseded { path: name });
        }
        let frame = frame::encode(self.next_frame, &batches)?;
        self.allocate(&name, self.length_bytes + frame.len() as u64)?;
        let write = self.file.write_all_at(&frame, self.length_bytes);
        write.map_err(StateError::io(Operation::Write, &name))?;
        self.file.sync_data().map_err(StateError::io(Operation::Sync, &name))?;
        self.next_frame += 1;
        self.length_bytes += frame.len() as u64;
        self.apply(batches);
        Ok(())
    }

    /// Starts a new file when more of the current one is obsolete than in use.
    ///
    /// # Errors
    ///
    /// The new file could not be written. The current file still holds everything; if the new one may
    /// have its name already, the next [`Journal::append`] fails.
    pub fn rotate(&mut self) -> Result<(), StateError> {
        let obsolete_bytes = self.length_bytes.saturating_sub(self.state_bytes);
        if obsolete_bytes > MIN_OBSOLETE_BYTES.max(self.state_bytes) {
            self.start_new_file()?;
        }
        Ok(())
    }

    /// Writes a new file with the complete state including `batches`, after [`Journal::append`] has
    /// failed. The old file is not extended, because its content after the failed write is unknown.
    ///
    /// # Errors
    ///
    /// The disk failed again. The batches are kept in memory, and the next call writes them.
    pub fn recover(&mut self, batches: Batches) -> Result<(), StateError> {
        self.apply(batches);
        self.start_new_file()
    }

    /// Applies batches to the state in memory.
    fn apply(&mut self, batches: Batches) {
        let only_grows =
            batches.iter().all(|(_, batch)| batch.snapshot.is_none() && batch.cut.is_none());
        let added: usize = batches.iter().map(|(_, batch)| batch.payload_bytes()).sum();
        apply(&mut self.groups, batches);
        self.state_bytes = match only_grows {
            true => self.state_bytes + added as u64,
            false => state_bytes(&self.groups),
        };
    }

    /// Extends the file with zeros to [`PREALLOCATION_BYTES`] beyond `end`.
    fn allocate(&mut self, name: &Path, end: u64) -> Result<(), StateError> {
        if end <= self.allocated_bytes {
            return Ok(());
        }
        let zeros = vec![0; (end - self.allocated_bytes + PREALLOCATION_BYTES) as usize];
        let write = self.file.write_all_at(&zeros, self.allocated_bytes);
        write.map_err(StateError::io(Operation::Write, name))?;
        self.file.sync_all().map_err(StateError::io(Operation::Sync, name))?;
        self.allocated_bytes += zeros.len() as u64;
        Ok(())
    }

    /// Replaces the file by one that starts with a checkpoint of the current state.
    fn start_new_file(&mut self) -> Result<(), StateError> {
        let file_number = self.file_number + 1;
        let (temporary, file, length_bytes) =
            write_checkpoint(&self.folder, file_number, &self.groups)?;
        self.is_superseded = true;
        temporary.publish()?;
        self.is_superseded = false;
        self.file = file;
        let old = self.folder.join(file_name(self.file_number));
        self.file_number = file_number;
        self.next_frame = 1;
        self.length_bytes = length_bytes;
        self.allocated_bytes = length_bytes;
        if let Err(error) = fs::remove_file(&old) {
            // The next start removes it.
            tracing::warn!(path = %old.display(), %error, "failed to remove a replaced journal file");
        }
        Ok(())
    }
}

/// Writes a checkpoint of `groups` to the journal file with this number, which has no name yet. Returns
/// its length in bytes as well.
fn write_checkpoint(
    folder: &Path,
    number: u64,
    groups: &Groups,
) -> Result<(TemporaryFile, File, u64), StateError> {
    let mut length = 0;
    let (temporary, file) = TemporaryFile::write(folder, &file_name(number), |file, path| {
        length = frame::write(file, path, 0, groups)?;
        Ok(())
    })?;
    Ok((temporary, file, length))
}

fn file_name(number: u64) -> String {
    format!("{FILE_NAME_PREFIX}{number:08}")
}

/// Creates the first journal of a new folder. A journal without an owner file is overwritten if
/// nothing was ever written to it: it stems from a crash during an earlier creation.
pub(super) fn create_empty(folder: &Path) -> Result<(), StateError> {
    if let Some(number) = remove_stale_files(folder)? {
        let name = folder.join(file_name(number));
        let bytes = fs::read(&name).map_err(StateError::io(Operation::Read, &name))?;
        let is_unused = number == 1 && bytes == frame::encode(0, &Groups::new())?;
        if !is_unused {
            return Err(StateError::MissingOwner { path: folder.into() });
        }
    }
    write_checkpoint(folder, 1, &Groups::new())?.0.publish()
}

/// Removes replaced and incomplete files; returns the number of the current file.
fn remove_stale_files(folder: &Path) -> Result<Option<u64>, StateError> {
    let list = fs::read_dir(folder).map_err(StateError::io(Operation::List, folder))?;
    let mut numbers = Vec::new();
    for item in list {
        let item = item.map_err(StateError::io(Operation::List, folder))?;
        let name = item.file_name();
        let Some(suffix) = name.to_str().and_then(|name| name.strip_prefix(FILE_NAME_PREFIX))
        else {
            continue;
        };
        match suffix.parse::<u64>() {
            Ok(number) => numbers.push(number),
            Err(_) => remove(&item.path())?,
        }
    }
    numbers.sort_unstable();
    let current = numbers.pop();
    for number in numbers {
        remove(&folder.join(file_name(number)))?;
    }
    Ok(current)
}

fn remove(path: &Path) -> Result<(), StateError> {
    fs::remove_file(path).map_err(StateError::io(Operation::Remove, path))
}

#[derive(Debug)]
struct JournalContent {
    groups: Groups,
    next_frame: u64,
    length_bytes: u64,
}

/// Reads a journal file of `length` bytes, one frame at a time.
fn read(path: &Path, file: &mut File, length: u64) -> Result<JournalContent, StateError> {
    let corrupt = |offset: u64| StateError::Corrupt { path: path.into(), offset };
    let mut reader = BufReader::new(&mut *file);
    let mut next = |remaining| {
        frame::read(&mut reader, remaining).map_err(StateError::io(Operation::Read, path))
    };
    let checkpoint = next(length)?.filter(|(number, _)| *number == 0);
    let (_, payload) = checkpoint.ok_or_else(|| corrupt(0))?;
    let groups: Groups = postcard::from_bytes(&payload).map_err(|_| corrupt(0))?;
    let start = (frame::HEADER_BYTES + payload.len()) as u64;
    drop(payload);
    let mut content = JournalContent { groups, next_frame: 1, length_bytes: start };
    while content.length_bytes < length {
        let Some((number, payload)) = next(length - content.length_bytes)? else { break };
        let batches: Option<Batches> = postcard::from_bytes(&payload).ok();
        let Some(batches) = batches.filter(|_| number == content.next_frame) else {
            return Err(corrupt(content.length_bytes));
        };
        apply(&mut content.groups, batches);
        content.next_frame += 1;
        content.length_bytes += (frame::HEADER_BYTES + payload.len()) as u64;
    }
    let end = content.length_bytes;
    let remaining = read_to_end(file, end).map_err(StateError::io(Operation::Read, path))?;
    if frame::has_later_frame(&remaining) {
        return Err(corrupt(end));
    }
    Ok(content)
}

fn read_to_end(file: &mut File, offset: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    file.seek(SeekFrom::Start(offset))?;
    file.read_to_end(&mut bytes)?;
    Ok(bytes)
}

/// Length of the commands and snapshots of all groups.
fn state_bytes(groups: &Groups) -> u64 {
    groups.iter().map(|(_, state)| state.payload_bytes() as u64).sum()
}

fn apply(groups: &mut Groups, batches: Batches) {
    for (group, batch) in batches {
        let index = match groups.binary_search_by(|(name, _)| name.cmp(&group)) {
            Ok(index) => index,
            Err(index) => {
                groups.insert(index, (group, StoredState::default()));
                index
            }
        };
        groups[index].1.write(batch);
    }
}
