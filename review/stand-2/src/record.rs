//! The record of a case: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Record> {
        Ok(Record { began: Instant::now(), file: Mutex::new(File::create(folder.join("record.txt"))?) })
    }

    /// Time since the case began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().expect("the record");
        // A record that can't be written shows in the missing file.
        let _ = file.write_all(line.as_bytes());
    }
}
