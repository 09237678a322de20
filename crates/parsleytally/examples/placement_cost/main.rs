//! Cost of placement against the size of the fleet.
//!
//! `cargo run --release --example placement_cost`
//!
//! For each size the fleet is filled with 25 running tasks a worker. Then 180 tasks a
//! second are submitted, started and ended for 30 s of fake time while every worker
//! reports each 10 s, once with room and once with a backlog that finds none.

mod fleet;

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use parsleytally::placement::{Input, Output};

use fleet::Fleet;

/// Workers of each run.
const SIZES: [usize; 3] = [11, 300, 3_000];
/// Running tasks a worker.
const TASKS_EACH: usize = 25;
/// Starts a second at the peak.
const STARTS: usize = 180;
/// Fake seconds of each run.
const SECONDS: usize = 30;
/// Rounds a second.
const ROUNDS: usize = 10;
/// Seconds between two reports of a worker.
const REPORT_SECONDS: usize = 10;
/// Waiting tasks that find no room.
const BACKLOG: usize = 10_000;

/// What one run cost.
struct Cost {
    /// Time of a round that places one task, in nanoseconds.
    decision: Histogram<u64>,
    /// Processor time of all steps, and that of reports alone.
    all: Duration,
    reports: Duration,
    starts: usize,
    /// Time to explain a waiting task.
    explain: Duration,
}

fn main() {
    println!(
        "workers running backlog starts  decision us p50   p99   max  core% (reports)  explain us  KiB"
    );
    for workers in SIZES {
        for backlog in [0, BACKLOG] {
            let before = resident();
            let mut fleet = Fleet::new(workers);
            fleet.fill(TASKS_EACH);
            let running = fleet.running();
            let cost = run(&mut fleet, backlog);
            let memory = resident().saturating_sub(before);
            print(workers, running, backlog, &cost, memory);
        }
    }
}

fn run(fleet: &mut Fleet, backlog: usize) -> Cost {
    let decision = Histogram::new_with_bounds(1, 10_000_000_000, 3);
    let mut cost = Cost {
        decision: decision.expect("the bounds are valid"),
        all: Duration::ZERO,
        reports: Duration::ZERO,
        starts: 0,
        explain: Duration::ZERO,
    };
    fleet.wait_in_vain(backlog);
    let slices = SECONDS * ROUNDS;
    let each = STARTS / ROUNDS;
    for slice in 0..slices {
        fleet.pass(Duration::from_millis(1_000 / ROUNDS as u64));
        let reports = fleet.due_reports(slice, REPORT_SECONDS * ROUNDS);
        let began = Instant::now();
        for report in reports {
            fleet.step(Input::Report(report));
        }
        cost.reports += began.elapsed();
        cost.all += began.elapsed();
        for _ in 0..each {
            let ended = fleet.oldest();
            let request = fleet.request();
            let began = Instant::now();
            if let Some(task) = ended {
                fleet.step(Input::Ended(task));
            }
            fleet.step(Input::Submit(request));
            let deciding = Instant::now();
            let out = fleet.step(Input::Tick);
            let took = deciding.elapsed();
            for output in &out {
                if let Output::Start { task, .. } = output {
                    fleet.step(Input::Started(task.clone()));
                }
            }
            cost.all += began.elapsed();
            let placed = fleet.took(out);
            if placed == 1 {
                cost.decision.saturating_record(took.as_nanos() as u64);
            }
            cost.starts += placed;
        }
    }
    cost.explain = fleet.explain();
    cost
}

fn print(workers: usize, running: usize, backlog: usize, cost: &Cost, memory: u64) {
    let micros = |nanos: u64| nanos as f64 / 1e3;
    let share = |time: Duration| 100.0 * time.as_secs_f64() / SECONDS as f64;
    println!(
        "{workers:>7} {running:>7} {backlog:>7} {:>6}  {:>15.1} {:>5.1} {:>5.0}  {:>5.2} {:>9.2}  {:>10.0}  {memory:>6}",
        cost.starts,
        micros(cost.decision.value_at_quantile(0.5)),
        micros(cost.decision.value_at_quantile(0.99)),
        micros(cost.decision.max()),
        share(cost.all),
        share(cost.reports),
        cost.explain.as_secs_f64() * 1e6,
    );
}

/// Memory of this process, in KiB.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|kib| kib.parse().ok()).unwrap_or(0)
}
