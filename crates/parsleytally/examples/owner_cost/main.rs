//! Processor time of the owner of the jobs against the size of the fleet.
//!
//! `cargo run --release --example owner_cost`
//!
//! For each size, the scheduler runs a fleet whose load grows with it: long-running
//! services, steps of short tasks, and steps of best-effort tasks beside the services. Two
//! more runs have more best-effort work than the fleet has room for. Network, store and
//! logs are not part of it.
//!
//! `cargo run --release --example owner_cost -- backlog WORKERS JOBS`
//!
//! An owner takes over a fleet with a service near its target on each worker and a backlog
//! of best-effort jobs, until each job has had a run.
//!
//! `cargo run --release --example owner_cost -- rounds WORKERS ROUNDS`
//!
//! A repeated job all of whose rounds are due at once, with tasks that fit and with tasks that no
//! worker can take.

mod backlog;
mod fleet;
mod load;
mod rounds;

use std::time::{Duration, Instant};

use fleet::Fleet;
use load::Load;
use parsleytally::jobs::{Input, JobState, Output};

/// Workers of each run.
const SIZES: [usize; 4] = [30, 100, 300, 1_000];
/// Best-effort work submitted, as a multiple of what the fleet usually gets.
const OVERLOADS: [f64; 2] = [1.0, 4.0];
/// Simulated time of each run.
const DURATION: Duration = Duration::from_secs(20);
/// Time between two batches of inputs.
const BATCH: Duration = Duration::from_millis(10);
/// Batches between two ticks of the scheduler.
const BATCHES_PER_TICK: u32 = 15;

/// What one run cost.
#[derive(Default)]
struct Cost {
    /// Time spent in the scheduler.
    busy: Duration,
    /// Longest time of one batch.
    longest: Duration,
    starts: usize,
    /// Sum over all ticks of the waiting tasks.
    waiting: usize,
    completed: usize,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, workers, count] = &arguments[..] {
        let workers = workers.parse().expect("a number of workers");
        let count = count.parse().expect("a number of jobs or rounds");
        match mode.as_str() {
            "backlog" => backlog::play(workers, count),
            "rounds" => rounds::play(workers, count),
            _ => panic!("expected backlog or rounds"),
        }
        return;
    }
    println!("workers  load  core%  us/start  longest ms  starts/s  waiting  completed jobs");
    for overload in OVERLOADS {
        for workers in SIZES {
            let cost = run(workers, overload);
            print(workers, overload, &cost);
        }
    }
}

fn run(workers: usize, overload: f64) -> Cost {
    let mut fleet = Fleet::new(workers);
    let mut load = Load::new(workers, overload);
    let mut cost = Cost::default();
    let batches = DURATION.as_millis() / BATCH.as_millis();
    for batch in 0..u32::try_from(batches).expect("a small number") {
        let mut inputs = fleet.advance(BATCH);
        inputs.extend(load.submit(fleet.now(), BATCH));
        let tick = batch % BATCHES_PER_TICK == 0;
        if tick {
            inputs.push(Input::Confirmed(fleet.now()));
            inputs.push(Input::Tick);
        }
        let began = Instant::now();
        let outputs = fleet.decide(inputs);
        let elapsed = began.elapsed();
        cost.busy += elapsed;
        cost.longest = cost.longest.max(elapsed);
        cost.starts += fleet.carry_out(&outputs);
        cost.completed += outputs.iter().filter(|output| is_completed(output)).count();
        if tick {
            cost.waiting += fleet.waiting();
        }
    }
    cost
}

fn is_completed(output: &Output) -> bool {
    matches!(output, Output::Save { progress, .. } if progress.state == JobState::Completed)
}

fn print(workers: usize, overload: f64, cost: &Cost) {
    let seconds = DURATION.as_secs_f64();
    let ticks = DURATION.as_millis() / BATCH.as_millis() / u128::from(BATCHES_PER_TICK);
    println!(
        "{workers:7} {overload:5.1} {:6.2} {:9.1} {:11.2} {:9.1} {:8} {:15}",
        100.0 * cost.busy.as_secs_f64() / seconds,
        cost.busy.as_secs_f64() * 1e6 / cost.starts.max(1) as f64,
        cost.longest.as_secs_f64() * 1e3,
        cost.starts as f64 / seconds,
        cost.waiting / usize::try_from(ticks).expect("a small number"),
        cost.completed,
    );
}
