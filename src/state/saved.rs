//! The configuration that an entry instance with a disk keeps over its restarts.

use std::{fs, io::ErrorKind, path::PathBuf};

use medlarlug_core::release::Configuration;

use super::{
    error::{Operation, StateError},
    folder::{DataFolder, replace},
    frame,
};

const FILE: &str = "configuration";

/// The saved configuration in a data folder.
#[derive(Debug, Clone)]
pub struct SavedConfiguration {
    folder: PathBuf,
}

impl SavedConfiguration {
    /// The saved configuration of `folder`, which has to stay open meanwhile.
    pub fn new(folder: &DataFolder) -> SavedConfiguration {
        SavedConfiguration { folder: folder.path().to_owned() }
    }

    /// Reads the configuration; `None` if none was saved.
    ///
    /// # Errors
    ///
    /// The file is corrupt or cannot be read.
    pub fn read(&self) -> Result<Option<Configuration>, StateError> {
        let file = self.folder.join(FILE);
        let bytes = match fs::read(&file) {
            Ok(bytes) => bytes,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(StateError::io(Operation::Read, file)(error)),
        };
        let content = frame::decode(&bytes).map(|(_, payload)| postcard::from_bytes(payload));
        match content {
            Some(Ok(configuration)) => Ok(Some(configuration)),
            _ => Err(StateError::Corrupt { path: file, offset: 0 }),
        }
    }

    /// Saves a configuration in the place of the former one; returns once it is synced.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, configuration: &Configuration) -> Result<(), StateError> {
        let payload = postcard::to_stdvec(configuration).map_err(StateError::Encode)?;
        replace(&self.folder, FILE, &frame::encode(0, &payload)?)?;
        Ok(())
    }
}
