//! The journal: one file of frames for all groups of a process.
//!
//! The first frame is a checkpoint with the whole state of every group; each further frame holds
//! the batches that were written and synced together. When the file has grown to a multiple of its
//! checkpoint, a new file begins with a checkpoint of the present state and replaces it, so the
//! space on disk follows what the groups keep rather than what they have ever written.
//!
//! Exactly one frame is written between two syncs. A frame that is not intact and that no intact
//! frame follows is therefore the one that was being written at a crash and was never
//! acknowledged: it is cut off, as are the zeros that the file is allocated ahead with. Any other damage is an error.

use std::{
    fs::{self, File, OpenOptions},
    os::unix::fs::FileExt,
    path::{Path, PathBuf},
};

use medlarlug_core::replication::{Persist, StoredState};

use super::{
    error::{Operation, StateError},
    folder::{self, DataFolder},
    frame,
    group::GroupName,
};

const PREFIX: &str = "journal-";
/// Growth of the file since its checkpoint, in bytes, below which no new file begins.
const MIN_GROWTH: u64 = 4 << 20;
/// Bytes by which the file is allocated ahead, so that a sync need not record its growth.
const ALLOCATION: u64 = 1 << 20;
/// Growth of the file since its checkpoint, as a multiple of the checkpoint.
const GROWTH_FACTOR: u64 = 2;

/// The state of each group, sorted by group.
pub type Groups = Vec<(GroupName, StoredState)>;
/// Batches that are written together.
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
    /// Number of the file.
    number: u64,
    /// Number of the next frame in the file.
    next: u64,
    /// Length of the checkpoint, in bytes.
    checkpoint: u64,
    /// Length of the records, in bytes.
    length: u64,
    /// Length of the file, in bytes; zeros follow the records.
    allocated: u64,
    groups: Groups,
}

impl Journal {
    /// Opens the journal of `folder` and cuts off a torn last frame.
    ///
    /// # Errors
    ///
    /// The journal is missing or corrupt, or cannot be read or written.
    pub fn open(folder: &DataFolder) -> Result<Journal, StateError> {
        let path = folder.path();
        let Some(number) = clean_up(path)? else {
            return Err(StateError::MissingJournal { path: path.into() });
        };
        let name = path.join(file_name(number));
        let bytes = fs::read(&name).map_err(StateError::io(Operation::Read, &name))?;
        let content = read(&name, &bytes)?;
        let file = OpenOptions::new()
            .write(true)
            .open(&name)
            .map_err(StateError::io(Operation::Open, &name))?;
        if content.length < bytes.len() as u64 {
            file.set_len(content.length).map_err(StateError::io(Operation::Write, &name))?;
            file.sync_all().map_err(StateError::io(Operation::Sync, &name))?;
        }
        Ok(Journal {
            folder: path.into(),
            file,
            number,
            next: content.next,
            checkpoint: content.checkpoint,
            length: content.length,
            allocated: content.length,
            groups: content.groups,
        })
    }

    /// The state of each group, sorted by group.
    pub fn groups(&self) -> &[(GroupName, StoredState)] {
        &self.groups
    }

    /// The state of one group; empty for a new group.
    pub fn group(&self, group: &GroupName) -> StoredState {
        let at = self.groups.binary_search_by(|(own, _)| own.cmp(group));
        at.map(|at| self.groups[at].1.clone()).unwrap_or_default()
    }

    /// Length of the records, in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Writes the batches and syncs them with one sync.
    ///
    /// # Errors
    ///
    /// The disk failed. What is on it is unknown then, so the journal must not be used further.
    pub fn write(&mut self, batches: Batches) -> Result<(), StateError> {
        self.append(batches)?;
        self.rotate()
    }

    /// Writes the batches and syncs them, without beginning a new file.
    ///
    /// # Errors
    ///
    /// The disk failed; only [`Journal::recover`] may follow.
    pub fn append(&mut self, batches: Batches) -> Result<(), StateError> {
        let payload = postcard::to_stdvec(&batches).map_err(StateError::Encode)?;
        let frame = frame::encode(self.next, &payload)?;
        let name = self.folder.join(file_name(self.number));
        self.allocate(&name, self.length + frame.len() as u64)?;
        let write = self.file.write_all_at(&frame, self.length);
        write.map_err(StateError::io(Operation::Write, &name))?;
        self.file.sync_data().map_err(StateError::io(Operation::Sync, &name))?;
        self.next += 1;
        self.length += frame.len() as u64;
        apply(&mut self.groups, batches);
        Ok(())
    }

    /// Begins a new file when the present one has grown large.
    ///
    /// # Errors
    ///
    /// The disk failed. The present file holds everything that was written.
    pub fn rotate(&mut self) -> Result<(), StateError> {
        let limit = MIN_GROWTH.max(GROWTH_FACTOR * self.checkpoint);
        if self.length - self.checkpoint > limit {
            self.begin_file()?;
        }
        Ok(())
    }

    /// Writes the batches into a new file with the whole state, after [`Journal::append`]
    /// has failed: what the failed write left in the old file is unknown and is never built upon.
    ///
    /// # Errors
    ///
    /// The disk failed again. The batches are part of the state that the next call writes.
    pub fn recover(&mut self, batches: Batches) -> Result<(), StateError> {
        apply(&mut self.groups, batches);
        self.begin_file()
    }

    /// Fills the file with zeros up to `end` and some way beyond.
    fn allocate(&mut self, name: &Path, end: u64) -> Result<(), StateError> {
        if end <= self.allocated {
            return Ok(());
        }
        let zeros = vec![0; (end - self.allocated + ALLOCATION) as usize];
        let write = self.file.write_all_at(&zeros, self.allocated);
        write.map_err(StateError::io(Operation::Write, name))?;
        self.file.sync_all().map_err(StateError::io(Operation::Sync, name))?;
        self.allocated += zeros.len() as u64;
        Ok(())
    }

    /// Replaces the file by one that begins with a checkpoint of the present state.
    fn begin_file(&mut self) -> Result<(), StateError> {
        let old = self.folder.join(file_name(self.number));
        let number = self.number + 1;
        let length = create(&self.folder, number, &self.groups)?;
        let name = self.folder.join(file_name(number));
        self.file = OpenOptions::new()
            .write(true)
            .open(&name)
            .map_err(StateError::io(Operation::Open, &name))?;
        self.number = number;
        self.next = 1;
        self.checkpoint = length;
        self.length = length;
        self.allocated = length;
        fs::remove_file(&old).map_err(StateError::io(Operation::Remove, &old))
    }
}

fn file_name(number: u64) -> String {
    format!("{PREFIX}{number:08}")
}

fn encode(groups: &Groups) -> Result<Vec<u8>, StateError> {
    postcard::to_stdvec(groups).map_err(StateError::Encode)
}

/// Creates a journal file with a checkpoint and returns its length.
fn create(folder: &Path, number: u64, groups: &Groups) -> Result<u64, StateError> {
    let frame = frame::encode(0, &encode(groups)?)?;
    folder::replace(folder, &file_name(number), &frame)?;
    Ok(frame.len() as u64)
}

/// Creates the first journal of a new folder, which may hold one that was never written to.
pub(super) fn create_empty(folder: &Path) -> Result<(), StateError> {
    if let Some(number) = clean_up(folder)? {
        let name = folder.join(file_name(number));
        let bytes = fs::read(&name).map_err(StateError::io(Operation::Read, &name))?;
        let is_unused = number == 1 && bytes == frame::encode(0, &encode(&Groups::new())?)?;
        if !is_unused {
            return Err(StateError::MissingOwner { path: folder.into() });
        }
    }
    create(folder, 1, &Groups::new())?;
    Ok(())
}

/// Removes replaced and unfinished files; returns the number of the file in force.
fn clean_up(folder: &Path) -> Result<Option<u64>, StateError> {
    let list = fs::read_dir(folder).map_err(StateError::io(Operation::List, folder))?;
    let mut numbers = Vec::new();
    for item in list {
        let item = item.map_err(StateError::io(Operation::List, folder))?;
        let name = item.file_name();
        let Some(suffix) = name.to_str().and_then(|name| name.strip_prefix(PREFIX)) else {
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
struct Content {
    groups: Groups,
    next: u64,
    checkpoint: u64,
    length: u64,
}

fn read(path: &Path, bytes: &[u8]) -> Result<Content, StateError> {
    let corrupt = |offset: u64| StateError::Corrupt { path: path.into(), offset };
    let checkpoint = frame::decode(bytes).filter(|(number, _)| *number == 0);
    let (_, payload) = checkpoint.ok_or_else(|| corrupt(0))?;
    let groups: Groups = postcard::from_bytes(payload).map_err(|_| corrupt(0))?;
    let start = (frame::HEADER_BYTES + payload.len()) as u64;
    let mut content = Content { groups, next: 1, checkpoint: start, length: start };
    while content.length < bytes.len() as u64 {
        let rest = &bytes[content.length as usize..];
        let Some((number, payload)) = frame::decode(rest) else {
            if frame::has_later(rest) {
                return Err(corrupt(content.length));
            }
            break;
        };
        let batches: Option<Batches> = postcard::from_bytes(payload).ok();
        let Some(batches) = batches.filter(|_| number == content.next) else {
            return Err(corrupt(content.length));
        };
        apply(&mut content.groups, batches);
        content.next += 1;
        content.length += (frame::HEADER_BYTES + payload.len()) as u64;
    }
    Ok(content)
}

fn apply(groups: &mut Groups, batches: Batches) {
    for (group, batch) in batches {
        let at = match groups.binary_search_by(|(own, _)| own.cmp(&group)) {
            Ok(at) => at,
            Err(at) => {
                groups.insert(at, (group, StoredState::default()));
                at
            }
        };
        groups[at].1.write(batch);
    }
}
