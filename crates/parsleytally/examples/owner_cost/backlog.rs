//! An owner that takes over beside a backlog.

use std::time::{Duration, Instant};

use parsleytally::jobs::{Input, JobId, JobState};

use crate::fleet::Fleet;
use crate::load::Load;
use crate::{BATCH, BATCHES_PER_TICK};

/// Longest simulated time.
const PLAYED: Duration = Duration::from_secs(20);

/// Prints what the owner needs to take over `workers`, and to start each of `jobs`.
pub(crate) fn play(workers: usize, jobs: usize) {
    let mut load = Load::new(workers, 1.0);
    let mut inputs = Vec::new();
    let services: Vec<JobId> = (1..=workers as u64).map(JobId).collect();
    let (mut fleet, joining) = Fleet::taking_over(&services);
    let begun = fleet.now();
    inputs.extend(load.services(begun));
    let backlog = load.backlog(begun, jobs);
    let ids: Vec<JobId> = backlog.iter().filter_map(id).collect();
    inputs.extend(backlog);
    inputs.extend(joining);
    let began = Instant::now();
    let mut outputs = fleet.decide(inputs);
    let taken_over = began.elapsed();
    let mut starts = fleet.carry_out(&outputs);
    let (mut busy, mut longest) = (Duration::ZERO, Duration::ZERO);
    let mut batch = 0;
    let idle = |fleet: &Fleet| {
        let queued = |id: &&JobId| fleet.state(**id) == Some(JobState::Queued);
        ids.iter().filter(queued).count()
    };
    let idle_at_first = idle(&fleet);
    while idle(&fleet) > 0 && fleet.now().since(begun) < PLAYED {
        let mut inputs = fleet.advance(BATCH);
        if batch % BATCHES_PER_TICK == 0 {
            inputs.push(Input::Confirmed(fleet.now()));
            inputs.push(Input::Tick);
        }
        batch += 1;
        let began = Instant::now();
        outputs = fleet.decide(inputs);
        let elapsed = began.elapsed();
        busy += elapsed;
        longest = longest.max(elapsed);
        starts += fleet.carry_out(&outputs);
    }
    println!("workers {workers}, jobs {jobs}, idle after the listings {idle_at_first}");
    println!("take over       {:9.1} ms", millis(taken_over));
    println!("busy after it   {:9.1} ms", millis(busy));
    println!("longest batch   {:9.1} ms", millis(longest));
    println!("starts          {starts:9}");
    println!(
        "simulated time  {:9.1} ms",
        millis(fleet.now().since(begun))
    );
    println!("jobs idle       {:9}", idle(&fleet));
}

fn id(input: &Input) -> Option<JobId> {
    match input {
        Input::Job { id, .. } => Some(*id),
        _ => None,
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
