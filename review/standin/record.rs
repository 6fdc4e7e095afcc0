//! The record of a run: one line for each thing that was sent, answered, run or done, with its time.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { file, started: Instant::now() })
    }

    /// Writes a line, to the standard output too.
    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.started.elapsed().as_secs_f64());
        print!("{line}");
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        // A record that can't be written is seen by its reader.
        let _ = file.write_all(line.as_bytes());
    }
}
