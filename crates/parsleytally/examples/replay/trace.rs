//! The format of a trace: JSON lines, one record each, in order of time.
//!
//! `traces/README.md` documents the records for people.

use std::io::BufRead;

use serde::{Deserialize, Serialize};

/// Something recorded at a time.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Record {
    /// Seconds since the start of the trace.
    pub(crate) at: f64,
    /// What was recorded.
    pub(crate) event: Event,
}

/// What a record says.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Event {
    /// First record: about the trace itself.
    Trace(Header),
    /// A worker that exists from the start.
    Worker(WorkerSpec),
    /// A class of service.
    Service(ServiceSpec),
    /// True effect of a task class on a service class.
    Pair(PairSpec),
    /// Load of a service from now on, as a share of its slots.
    Load { service: String, load: f64 },
    /// A task arrives.
    Task(TaskSpec),
    /// A task is no longer wanted.
    Cancel { team: String, task: String },
    /// A worker is lost with all its runs.
    Down { worker: String },
    /// A worker is back, empty.
    Up { worker: String },
    /// A worker fails whatever starts there, or no longer does.
    Sick { worker: String, sick: bool },
    /// The platform's store answers, or does not.
    Store { up: bool },
    /// The scheduling process is lost and another takes over.
    Entry,
}

/// About the trace.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Header {
    /// Name, as the file's.
    pub(crate) name: String,
    /// Settings of this deployment apply: a file under `examples/`.
    pub(crate) deployment: String,
    /// Length of the trace.
    pub(crate) seconds: f64,
    /// Shortest and longest lag of a measurement, in seconds.
    pub(crate) lag: (f64, f64),
    /// Standard deviation of a measurement, in log latency.
    pub(crate) noise: f64,
}

/// A worker.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct WorkerSpec {
    pub(crate) name: String,
    pub(crate) zone: String,
    pub(crate) rack: String,
    /// Thousandths of processors.
    pub(crate) cpu: u64,
    /// Bytes.
    pub(crate) memory: u64,
    pub(crate) accelerators: u32,
    /// Classes of the services there.
    pub(crate) services: Vec<String>,
    /// Factor on the load of its services.
    pub(crate) share: f64,
}

/// A class of service.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct ServiceSpec {
    pub(crate) class: String,
    /// Target of the 99th percentile, in milliseconds.
    pub(crate) target: f64,
    /// Thousandths of processors kept for it on each of its workers.
    pub(crate) cpu: u64,
    /// Bytes kept for it on each of its workers.
    pub(crate) memory: u64,
    /// Strain without load.
    pub(crate) base: f64,
    /// Growth of log strain at full load.
    pub(crate) slope: f64,
}

/// True effect of a pair.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct PairSpec {
    pub(crate) service: String,
    pub(crate) task: String,
    /// Relative growth of strain per processor at full load.
    pub(crate) effect: f64,
}

/// A task: what it declares, and what it truly does.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TaskSpec {
    pub(crate) team: String,
    pub(crate) name: String,
    pub(crate) class: String,
    /// Declared thousandths of processors.
    pub(crate) cpu: u64,
    /// Declared bytes.
    pub(crate) memory: u64,
    pub(crate) accelerators: u32,
    /// Declared seconds.
    pub(crate) time: f64,
    /// True processors, memory and seconds.
    pub(crate) truth: Truth,
    pub(crate) urgent: bool,
    pub(crate) checkpoint: bool,
}

/// What a task truly does.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Truth {
    pub(crate) cpu: u64,
    pub(crate) memory: u64,
    pub(crate) time: f64,
    /// Whether it fails on every worker.
    pub(crate) fails: bool,
}

/// Reads a trace.
pub(crate) fn read(path: &str) -> Result<Vec<Record>, String> {
    let file = std::fs::File::open(path).map_err(|e| format!("trace {path:?}: {e}"))?;
    let lines = std::io::BufReader::new(file).lines().enumerate();
    let parse = |(at, line): (usize, std::io::Result<String>)| {
        let line = line.map_err(|e| format!("trace {path:?}: {e}"))?;
        serde_json::from_str(&line).map_err(|e| format!("trace {path:?}, line {}: {e}", at + 1))
    };
    lines.map(parse).collect()
}

/// Counts the tasks that always fail.
pub(crate) fn sick_tasks(records: &[Record]) -> u64 {
    let fails = |record: &&Record| matches!(&record.event, Event::Task(t) if t.truth.fails);
    records.iter().filter(fails).count() as u64
}
