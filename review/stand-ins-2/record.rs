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
    /// A job whose tasks are too many to be recorded one by one.
    muted: Mutex<Option<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        let file = Mutex::new(File::create(path)?);
        Ok(Self {
            began: Instant::now(),
            file,
            muted: Mutex::default(),
        })
    }

    /// Records no tasks of this job; they are still counted.
    pub fn mute(&self, job: &str) {
        *self.muted.lock().unwrap() = Some(format!("task {job}"));
    }

    /// Adds a line with the time since the start.
    pub fn line(&self, text: &str) {
        let muted = self.muted.lock().unwrap();
        if muted.as_ref().is_some_and(|muted| text.contains(muted)) {
            return;
        }
        let seconds = self.began.elapsed().as_secs_f64();
        let line = format!("{seconds:8.3} {text}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
