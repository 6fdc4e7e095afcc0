//! The record of a case: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    pub fn at(&self, when: Instant) -> Duration {
        when.saturating_duration_since(self.began)
    }

    pub fn write(&self, line: &str) {
        let now = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{now:8.3} s  {line}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, line: &str) {
        self.write(line);
        println!("{line}");
    }
}
