//! What was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            start: Instant::now(),
        })
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let time = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{time:8.3} {}", text.as_ref());
    }

    /// Seconds since the start.
    pub fn time(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }
}
