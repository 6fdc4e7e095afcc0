//! The configuration that an entry instance with a disk keeps across restarts.

use std::{fs, io::ErrorKind, path::PathBuf};

use medlarlug_core::release::Configuration;

use super::{
    error::{Operation, StateError},
    folder::{DataFolder, write_atomically},
    frame,
};

const FILE_NAME: &str = "configuration";

/// The file in a data folder that holds the last saved configuration.
#[derive(Debug, Clone)]
pub struct SavedConfiguration {
    folder: PathBuf,
}

impl SavedConfiguration {
    /// The file in `folder`, which has to stay open while the file is used.
    pub fn new(folder: &DataFolder) -> SavedConfiguration {
        SavedConfiguration { folder: folder.path().to_owned() }
    }

    /// Reads the configuration; `None` if none was saved.
    ///
    /// # Errors
    ///
    /// The file is corrupt or cannot be read.
    pub fn read(&self) -> Result<Option<Configuration>, StateError> {
        let file = self.folder.join(FILE_NAME);
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

    /// Replaces the saved configuration atomically; returns once the new one is synced.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn write(&self, configuration: &Configuration) -> Result<(), StateError> {
        write_atomically(&self.folder, FILE_NAME, &frame::encode(0, configuration)?)
    }
}
