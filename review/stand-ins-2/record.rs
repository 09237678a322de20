//! What was sent, answered and run, in `record.txt`.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// The record of one run of a case.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            began: Instant::now(),
            file,
        })
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
