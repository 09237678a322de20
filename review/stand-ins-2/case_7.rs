//! Workers crash, one at a time, some seconds apart: jobs without any failed run are shown as failed.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::world::{World, job, lasting_job};

/// A job with one task of 8 s.
const BATCH: &str = "5c0e7a21d94b36f8";
/// A job with one task that lasts.
const SERVICE: &str = "61d3f00c8ab2975e";
const JOBS: [&str; 2] = [BATCH, SERVICE];
/// Time between the submissions of the two, so that no two workers are down at once.
const OFFSET: Duration = Duration::from_millis(2_700);
/// Time from the start of a run to the crash of its worker.
const CRASH_AFTER: Duration = Duration::from_secs(4);
/// Time for which a crashed worker is down.
const DOWN: Duration = Duration::from_millis(1_500);
/// Crashes that hit each job, each on one worker.
const CRASHES: usize = 3;
/// Time for which the states are asked for.
const WATCHED: Duration = Duration::from_secs(35);

pub fn run(trouble: bool) -> Verdict {
    let world = World::start(3, 8);
    if !world.serves() {
        world.record.line("the deployment does not serve");
        return Verdict::NotRun;
    }
    if world.submit(0, BATCH, &job("8000", 1)) != 200 {
        return Verdict::NotRun;
    }
    thread::sleep(OFFSET);
    if world.submit(0, SERVICE, &lasting_job("600000", 1)) != 200 {
        return Verdict::NotRun;
    }
    let end = Instant::now() + WATCHED;
    let mut crashes = [0; JOBS.len()];
    let mut states = [const { String::new() }; JOBS.len()];
    let mut looks = 0;
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
        for (job, crashes) in JOBS.iter().zip(&mut crashes) {
            if let Some((worker, began)) = world.runs_on(job)
                && trouble
                && *crashes < CRASHES
                && began.elapsed() >= CRASH_AFTER
            {
                world.workers[worker].crash(DOWN);
                *crashes += 1;
            }
        }
        looks += 1;
        if looks % 10 == 0 {
            for (job, state) in JOBS.iter().zip(&mut states) {
                *state = world.state(1, job);
            }
        }
    }
    let mut broken = false;
    for ((job, crashes), state) in JOBS.iter().zip(crashes).zip(&states) {
        let failed = world
            .events_of(job)
            .iter()
            .filter(|event| event.what == "failed")
            .count();
        let text =
            format!("{job}: {crashes} crashes, {failed} runs ended `failed`, shown as {state}");
        world.record.line(&text);
        if state == "failed" && failed == 0 {
            world
                .record
                .line(&format!("LOST: {job} is shown as `failed` without cause"));
            broken = true;
        }
    }
    if !broken && states != ["completed", "running"] {
        world
            .record
            .line("the jobs were not completed and running in time");
        return Verdict::NotRun;
    }
    if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
