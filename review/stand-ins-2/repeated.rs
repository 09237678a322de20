//! A repeated job whose progress outgrows a value of the store: no job starts any more.

use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::world::{World, job};

const REPEATED: &str = "5c0e7a21d94b36f8";
/// Occurrences of one small task each; all are due, since the first was due in 1970.
const BODY: &str = r#"{"spec":"5","steps":[{"count":1,"cpu":50,"mem_mb":10,"estimate_ms":5}],"repeat_count":160000,"interval_ms":1000}"#;
/// Longest time until the repeated job stands still.
const LIMIT: Duration = Duration::from_secs(88);
/// Time without an end of an occurrence after which it stands still.
const STANDSTILL: Duration = Duration::from_secs(5);
/// Time between two ordinary jobs.
const PAUSE: Duration = Duration::from_secs(3);
/// Ordinary jobs without the repeated one.
const CALM_JOBS: usize = 4;
/// Ordinary jobs that are handed in once it stands still.
const LATE_JOBS: usize = 4;
/// Time after the end of the traffic until jobs are looked at: `finish_s` and 3 s.
const FINISH: Duration = Duration::from_secs(17);

pub fn run(trouble: bool) -> Verdict {
    let world = World::start(3, 4);
    if !world.serves() {
        world.record.line("the deployment does not serve");
        return Verdict::NotRun;
    }
    let mut accepted = Vec::new();
    let mut number = 0;
    let mut hand_in = || {
        let id = format!("{:016x}", 0x1000 + number);
        number += 1;
        if world.submit(number % world.entries.len(), &id, &job("500", 2)) == 200 {
            accepted.push(id);
        }
    };
    if trouble {
        world.record.mute(REPEATED);
        if world.submit(0, REPEATED, BODY) != 200 {
            return Verdict::NotRun;
        }
        let began = Instant::now();
        let mut last = (0, Instant::now());
        let mut next = Instant::now();
        while last.1.elapsed() < STANDSTILL {
            if began.elapsed() >= LIMIT {
                world
                    .record
                    .line("the repeated job does not stand still in time");
                return Verdict::NotRun;
            }
            if Instant::now() >= next {
                next += PAUSE;
                hand_in();
                world
                    .record
                    .line(&format!("{} occurrences are done", last.0));
            }
            thread::sleep(Duration::from_millis(200));
            let done = world.count("done", REPEATED);
            if done != last.0 {
                last = (done, Instant::now());
            }
        }
        let state = world.state(1, REPEATED);
        let text = format!(
            "{} occurrences are done, none in the last seconds; shown as {state}",
            last.0
        );
        world.record.line(&text);
    } else {
        for _ in 0..CALM_JOBS {
            hand_in();
            thread::sleep(PAUSE);
        }
    }
    for _ in 0..LATE_JOBS {
        hand_in();
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(FINISH);
    let idle: Vec<&String> = accepted
        .iter()
        .filter(|id| world.events_of(id).is_empty())
        .collect();
    world
        .record
        .line(&format!("{} ordinary jobs accepted", accepted.len()));
    if idle.is_empty() || !world.is_half_free(1_000) {
        world
            .record
            .line("all accepted jobs have begun, or the workers are in use");
        return if accepted.is_empty() {
            Verdict::NotRun
        } else {
            Verdict::Held
        };
    }
    for id in &idle {
        world.state(2, id);
    }
    let text = format!(
        "LOST: {} accepted jobs have nothing running on idle workers: {idle:?}",
        idle.len()
    );
    world.record.line(&text);
    Verdict::Broken
}
