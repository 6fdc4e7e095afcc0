//! The data folder with its owner file, storage id and lock file.

use std::{
    fs::{self, File, TryLockError},
    io::Write,
    path::{Path, PathBuf},
};

use medlarlug_core::{ids::InstanceId, replication::StorageId};
use serde::{Deserialize, Serialize};

use super::{
    error::{Operation, StateError},
    frame, journal,
};

const OWNER_FILE: &str = "owner";
const LOCK_FILE: &str = "lock";

#[derive(Debug, Serialize, Deserialize)]
struct Owner {
    instance: InstanceId,
    storage: StorageId,
}

/// A folder that holds the durable state of one instance.
///
/// Its [`StorageId`] is generated at random when the folder is created and read back from then on. A
/// folder that was lost and created again has a different one.
#[derive(Debug)]
pub struct DataFolder {
    path: PathBuf,
    storage: StorageId,
    /// Locked while the folder is in use.
    lock: File,
}

impl DataFolder {
    /// Opens the folder of `instance`, or creates it.
    ///
    /// # Errors
    ///
    /// The folder belongs to another instance, is in use, is corrupt, or cannot be read or written.
    pub fn open(path: &Path, instance: &InstanceId) -> Result<DataFolder, StateError> {
        fs::create_dir_all(path).map_err(StateError::io(Operation::Create, path))?;
        let lock = lock(path)?;
        let owner = match read_owner(path)? {
            Some(owner) => owner,
            None => create(path, instance)?,
        };
        if owner.instance != *instance {
            return Err(StateError::WrongOwner {
                path: path.into(),
                owner: owner.instance,
                instance: instance.clone(),
            });
        }
        Ok(DataFolder { path: path.into(), storage: owner.storage, lock })
    }

    /// The path under which the folder was opened.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// The file whose lock marks the folder as in use.
    pub fn lock_file(&self) -> &File {
        &self.lock
    }

    /// Random id of this folder; a new one is generated when the folder is created again.
    pub fn storage(&self) -> StorageId {
        self.storage
    }
}

impl Drop for DataFolder {
    /// Releases the lock explicitly: a child process may still hold a duplicate of its descriptor.
    fn drop(&mut self) {
        // If this fails, the lock is released when the process exits.
        let _ = self.lock.unlock();
    }
}

fn lock(path: &Path) -> Result<File, StateError> {
    let file = path.join(LOCK_FILE);
    let lock = File::create(&file).map_err(StateError::io(Operation::Create, &file))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(StateError::InUse { path: path.into() }),
        Err(TryLockError::Error(source)) => Err(StateError::io(Operation::Open, file)(source)),
    }
}

fn read_owner(path: &Path) -> Result<Option<Owner>, StateError> {
    let file = path.join(OWNER_FILE);
    let bytes = match fs::read(&file) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(StateError::io(Operation::Read, file)(error)),
    };
    let owner = frame::decode(&bytes).and_then(|(_, payload)| postcard::from_bytes(payload).ok());
    match owner {
        Some(owner) => Ok(Some(owner)),
        None => Err(StateError::Corrupt { path: file, offset: 0 }),
    }
}

/// Creates an empty journal and then the owner file, so that a folder with an owner file always has a
/// journal.
fn create(path: &Path, instance: &InstanceId) -> Result<Owner, StateError> {
    let owner = Owner { instance: instance.clone(), storage: StorageId(rand::random()) };
    journal::create_empty(path)?;
    write_atomically(path, OWNER_FILE, &frame::encode(0, &owner)?)?;
    if let Some(parent) = path.canonicalize().ok().as_deref().and_then(Path::parent) {
        sync_folder(parent)?;
    }
    Ok(owner)
}

/// Writes and syncs a file atomically: after a crash it has either the new content or the old one.
pub(super) fn write_atomically(
    folder: &Path,
    name: &str,
    content: &[u8],
) -> Result<(), StateError> {
    let (temporary, _) = TemporaryFile::write(folder, name, |file, path| {
        file.write_all(content).map_err(StateError::io(Operation::Write, path))
    })?;
    temporary.publish()
}

/// A complete and synced file under a temporary name. It is removed unless it is published, so that an
/// incomplete file takes no space.
#[derive(Debug)]
pub(super) struct TemporaryFile {
    folder: PathBuf,
    path: PathBuf,
    target: PathBuf,
    is_renamed: bool,
}

impl TemporaryFile {
    /// Creates the file that is to get `name`. `write` writes its content; it gets the temporary path
    /// for its errors.
    pub(super) fn write(
        folder: &Path,
        name: &str,
        write: impl FnOnce(&mut File, &Path) -> Result<(), StateError>,
    ) -> Result<(TemporaryFile, File), StateError> {
        let path = folder.join(format!("{name}.new"));
        let mut file = File::create(&path).map_err(StateError::io(Operation::Create, &path))?;
        let target = folder.join(name);
        let temporary = TemporaryFile { folder: folder.into(), path, target, is_renamed: false };
        write(&mut file, &temporary.path)?;
        file.sync_all().map_err(StateError::io(Operation::Sync, &temporary.path))?;
        Ok((temporary, file))
    }

    /// Gives the file its name. After an error it is unknown which name a restart finds.
    pub(super) fn publish(mut self) -> Result<(), StateError> {
        fs::rename(&self.path, &self.target)
            .map_err(StateError::io(Operation::Rename, &self.target))?;
        self.is_renamed = true;
        sync_folder(&self.folder)
    }
}

impl Drop for TemporaryFile {
    fn drop(&mut self) {
        if !self.is_renamed {
            // The next attempt replaces a file that can't be removed now.
            let _ = fs::remove_file(&self.path);
        }
    }
}

pub(super) fn sync_folder(path: &Path) -> Result<(), StateError> {
    let folder = File::open(path).map_err(StateError::io(Operation::Open, path))?;
    folder.sync_all().map_err(StateError::io(Operation::Sync, path))
}
