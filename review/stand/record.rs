//! What was sent, answered and run, with the time of each since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run of a task on a worker, as the worker saw it.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub number: u64,
    pub worker: String,
    /// Start and end, in milliseconds since the start of the record.
    pub began: u64,
    pub ended: Option<u64>,
    /// How it ended; `gone` if its worker crashed.
    pub how: &'static str,
}

struct Content {
    runs: Vec<Run>,
    lines: Vec<(u64, String)>,
}

/// The record of one case.
pub struct Record {
    began: Instant,
    content: Mutex<Content>,
}

impl Record {
    pub fn new() -> Arc<Self> {
        let content = Content {
            runs: Vec::new(),
            lines: Vec::new(),
        };
        Arc::new(Self {
            began: Instant::now(),
            content: Mutex::new(content),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn note(&self, text: impl Into<String>) {
        let now = self.now();
        let text = text.into();
        println!("{now:>7} ms  {text}");
        self.content.lock().unwrap().lines.push((now, text));
    }

    /// Adds a run that starts now; returns its place.
    pub fn started(&self, task: &str, number: u64, worker: &str) -> usize {
        let run = Run {
            task: task.to_owned(),
            number,
            worker: worker.to_owned(),
            began: self.now(),
            ended: None,
            how: "",
        };
        let mut content = self.content.lock().unwrap();
        content.runs.push(run);
        content.runs.len() - 1
    }

    /// Notes the end of the run at a place.
    pub fn ended(&self, at: usize, how: &'static str) {
        let now = self.now();
        let mut content = self.content.lock().unwrap();
        content.runs[at].ended = Some(now);
        content.runs[at].how = how;
    }

    /// Number of runs that have not ended.
    pub fn running(&self) -> usize {
        let content = self.content.lock().unwrap();
        content
            .runs
            .iter()
            .filter(|run| run.ended.is_none())
            .count()
    }

    /// All runs of the job or task `id`, in the order of their starts.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let content = self.content.lock().unwrap();
        let runs = content.runs.iter();
        runs.filter(|run| run.task.starts_with(id))
            .cloned()
            .collect()
    }

    /// Writes `record.txt` into the folder: the lines, then the runs. Of many runs of one job only
    /// the first are written out.
    pub fn write(&self, folder: &Path, runs_per_job: usize) -> std::io::Result<()> {
        let content = self.content.lock().unwrap();
        let mut file = File::create(folder.join("record.txt"))?;
        for (at, line) in &content.lines {
            writeln!(file, "{at:>7} ms  {line}")?;
        }
        writeln!(file, "\nruns (task, run, worker, began, ended, how):")?;
        let mut job = "";
        let mut written = 0;
        for run in &content.runs {
            let id = run.task.split('.').next().unwrap_or_default();
            if id != job {
                (job, written) = (id, 0);
            }
            written += 1;
            if written > runs_per_job {
                continue;
            }
            let ended = run.ended.map_or("-".to_owned(), |at| at.to_string());
            writeln!(
                file,
                "{} {} {} {} {} {}",
                run.task, run.number, run.worker, run.began, ended, run.how
            )?;
        }
        writeln!(file, "{} runs in all", content.runs.len())
    }
}
