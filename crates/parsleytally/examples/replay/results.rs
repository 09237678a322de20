//! What a replay came to.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Highest latency that the histogram tells apart, in microseconds.
const MAX_LATENCY: u64 = 600_000_000;
/// Shares of a step's requests and the quantile that stands for each.
const QUANTILES: [(f64, u64); 6] = [
    (0.25, 500),
    (0.625, 250),
    (0.875, 150),
    (0.95, 80),
    (0.99, 15),
    (0.999, 5),
];

/// Counts of one replay.
#[derive(Debug, Clone)]
pub(crate) struct Results {
    latency: Histogram<u64>,
    /// Service steps, and those within the target.
    pub(crate) steps: u64,
    pub(crate) within: u64,
    /// Tasks and work, in processor hours, by what became of them.
    pub(crate) finished: u64,
    pub(crate) work: f64,
    pub(crate) lost: f64,
    /// Runs that the policy moved, evicted, and that ran out of memory.
    pub(crate) moves: u64,
    pub(crate) evictions: u64,
    pub(crate) kills: u64,
    /// Runs lost with their worker, and failed runs.
    pub(crate) worker_losses: u64,
    pub(crate) failures: u64,
    pub(crate) refusals: u64,
    /// Steps in which grants passed what a worker has.
    pub(crate) overcommit: u64,
    /// Steps in which a task ran twice.
    pub(crate) doubled: u64,
    /// Waiting seconds of urgent tasks until their first start.
    pub(crate) urgent: Vec<f64>,
    /// Upper bound on the work that any policy could have finished.
    pub(crate) bound: f64,
    pub(crate) hours: f64,
    /// Wanted tasks that did not finish, by class.
    pub(crate) unfinished: BTreeMap<String, u64>,
    /// Processors beside the services, granted and used, and memory granted: sums
    /// of shares over worker steps.
    pub(crate) granted_cpu: f64,
    pub(crate) used_cpu: f64,
    pub(crate) granted_memory: f64,
    pub(crate) worker_steps: u64,
    /// Largest error of a learned effect, if effects were learned.
    pub(crate) effect_error: Option<f64>,
}

impl Results {
    pub(crate) fn new(hours: f64) -> Self {
        Self {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY, 3).expect("the bounds are valid"),
            steps: 0,
            within: 0,
            finished: 0,
            work: 0.0,
            lost: 0.0,
            moves: 0,
            evictions: 0,
            kills: 0,
            worker_losses: 0,
            failures: 0,
            refusals: 0,
            overcommit: 0,
            doubled: 0,
            urgent: Vec::new(),
            bound: 0.0,
            hours,
            unfinished: BTreeMap::new(),
            granted_cpu: 0.0,
            used_cpu: 0.0,
            granted_memory: 0.0,
            worker_steps: 0,
            effect_error: None,
        }
    }

    /// Counts the requests of one service on one worker in one step.
    ///
    /// Their latencies are taken to be exponential, with the 99th percentile given.
    pub(crate) fn service(&mut self, load: f64, strain: f64, target: f64) {
        self.steps += 1;
        self.within += u64::from(strain <= 1.0);
        let tail = strain * target * 1_000.0;
        for (quantile, weight) in QUANTILES {
            let latency = tail * (1.0_f64 - quantile).ln() / 0.01_f64.ln();
            let count = (weight as f64 * load) as u64;
            let latency = (latency as u64).clamp(1, MAX_LATENCY);
            self.latency.saturating_record_n(latency, count);
        }
    }

    /// Adds the counts of another replay.
    pub(crate) fn add(&mut self, other: &Self) {
        let merged = self.latency.add(&other.latency);
        merged.expect("both histograms have the same bounds");
        self.steps += other.steps;
        self.within += other.within;
        self.finished += other.finished;
        self.work += other.work;
        self.lost += other.lost;
        self.moves += other.moves;
        self.evictions += other.evictions;
        self.kills += other.kills;
        self.worker_losses += other.worker_losses;
        self.failures += other.failures;
        self.refusals += other.refusals;
        self.overcommit += other.overcommit;
        self.doubled += other.doubled;
        self.urgent.extend(&other.urgent);
        self.bound += other.bound;
        self.hours += other.hours;
        for (class, count) in &other.unfinished {
            *self.unfinished.entry(class.clone()).or_default() += count;
        }
        self.granted_cpu += other.granted_cpu;
        self.used_cpu += other.used_cpu;
        self.granted_memory += other.granted_memory;
        self.worker_steps += other.worker_steps;
    }

    pub(crate) fn row(&self, trace: &str, policy: &str, seed: u64) -> Row {
        let quantile = |q: f64| self.latency.value_at_quantile(q) as f64 / 1_000.0;
        let mut urgent = self.urgent.clone();
        urgent.sort_by(f64::total_cmp);
        let at = (urgent.len() * 99 / 100).min(urgent.len().saturating_sub(1));
        Row {
            trace: trace.to_owned(),
            policy: policy.to_owned(),
            seed,
            p50: quantile(0.5),
            p99: quantile(0.99),
            p999: quantile(0.999),
            within: self.within as f64 / self.steps.max(1) as f64,
            finished: self.finished,
            throughput: self.work / self.hours,
            of_bound: self.work / self.bound.max(1e-9),
            lost: self.lost,
            taken_out: self.moves + self.evictions + self.kills,
            moves: self.moves,
            evictions: self.evictions,
            kills: self.kills,
            worker_losses: self.worker_losses,
            failures: self.failures,
            refusals: self.refusals,
            urgent_wait: urgent.get(at).copied(),
            overcommit: self.overcommit,
            doubled: self.doubled,
            effect_error: self.effect_error,
            unfinished: self.unfinished.clone(),
            granted_cpu: self.granted_cpu / self.worker_steps.max(1) as f64,
            used_cpu: self.used_cpu / self.worker_steps.max(1) as f64,
            granted_memory: self.granted_memory / self.worker_steps.max(1) as f64,
        }
    }
}

/// One line of the output.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Row {
    pub(crate) trace: String,
    pub(crate) policy: String,
    pub(crate) seed: u64,
    /// Latency quantiles, in milliseconds.
    pub p50: f64,
    pub p99: f64,
    pub p999: f64,
    /// Share of service time within the target.
    pub(crate) within: f64,
    pub(crate) finished: u64,
    /// Processor hours of finished tasks an hour.
    pub(crate) throughput: f64,
    /// Finished work over the bound for perfect knowledge.
    pub(crate) of_bound: f64,
    /// Processor hours of work that was lost.
    pub(crate) lost: f64,
    /// Moves, evictions and kills together.
    pub(crate) taken_out: u64,
    pub(crate) moves: u64,
    pub(crate) evictions: u64,
    pub(crate) kills: u64,
    pub(crate) worker_losses: u64,
    pub(crate) failures: u64,
    pub(crate) refusals: u64,
    /// 99th percentile of urgent tasks' waits, in seconds.
    pub(crate) urgent_wait: Option<f64>,
    pub(crate) overcommit: u64,
    pub(crate) doubled: u64,
    pub(crate) effect_error: Option<f64>,
    /// Wanted tasks that did not finish, by class.
    pub(crate) unfinished: BTreeMap<String, u64>,
    /// Mean shares of what workers have beside their services.
    pub(crate) granted_cpu: f64,
    pub(crate) used_cpu: f64,
    pub(crate) granted_memory: f64,
}

/// Prints the table's head.
pub(crate) fn print_head() {
    println!(
        "{:<22} {:<14} {:>7} {:>8} {:>8} {:>7} {:>6} {:>7} {:>6} {:>7} {:>5} {:>5} {:>5} {:>5} {:>6} {:>4} {:>3}",
        "trace",
        "policy",
        "p50 ms",
        "p99 ms",
        "p99.9",
        "within",
        "done",
        "cpuh/h",
        "bound",
        "lost",
        "out",
        "move",
        "evict",
        "kill",
        "urgent",
        "over",
        "dbl"
    );
}

/// Prints one line of the table.
pub(crate) fn print_row(row: &Row) {
    println!(
        "{:<22} {:<14} {:>7.1} {:>8.1} {:>8.1} {:>6.2}% {:>6} {:>7.2} {:>5.0}% {:>7.1} {:>5} {:>5} {:>5} {:>5} {:>6.0} {:>4} {:>3}",
        row.trace,
        row.policy,
        row.p50,
        row.p99,
        row.p999,
        100.0 * row.within,
        row.finished,
        row.throughput,
        100.0 * row.of_bound,
        row.lost,
        row.taken_out,
        row.moves,
        row.evictions,
        row.kills,
        row.urgent_wait.unwrap_or(0.0),
        row.overcommit,
        row.doubled,
    );
}
