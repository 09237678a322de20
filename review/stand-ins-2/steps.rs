//! One accepted job of many steps: the entry that schedules hangs, and each that follows it.

use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::world::{World, job};

const LARGE: &str = "5c0e7a21d94b36f8";
/// Steps of the large job, each of one task; its body is below the manifest's `max_body_bytes`.
const STEPS: usize = 10_000;
/// Ordinary jobs, one each second.
const ORDINARY: usize = 12;
/// Number of the ordinary job after which the large one comes.
const LARGE_AFTER: usize = 4;
/// `finish_s`: time after the end of the traffic after which jobs are asked for.
const FINISH: Duration = Duration::from_secs(14);
/// Attempts of a client, each at the next entry.
const ATTEMPTS: usize = 5;

fn large_job() -> String {
    let steps = vec![r#"{"count":1,"cpu":240}"#; STEPS].join(",");
    format!(r#"{{"spec":"200","steps":[{steps}]}}"#)
}

pub fn run(trouble: bool) -> Verdict {
    let world = World::start(3, 4);
    if !world.serves() {
        world.record.line("the deployment does not serve");
        return Verdict::NotRun;
    }
    let entries = world.entries.len();
    let accepted = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for number in 0..ORDINARY {
            let (world, accepted) = (&world, &accepted);
            scope.spawn(move || {
                let id = format!("{:016x}", 0x1000 + number);
                let body = job("1000", 2);
                let is_accepted =
                    |attempt| world.submit((number + attempt) % entries, &id, &body) == 200;
                if (0..ATTEMPTS).any(is_accepted) {
                    accepted.lock().unwrap().push(id);
                }
            });
            if trouble && number == LARGE_AFTER {
                let body = large_job();
                let status = world.submit(0, LARGE, &body);
                let text = format!("large job: {STEPS} steps, {} bytes -> {status}", body.len());
                world.record.line(&text);
            }
            thread::sleep(Duration::from_secs(1));
        }
    });
    let accepted = accepted.into_inner().unwrap();
    let text = format!(
        "end of the traffic: {} of {ORDINARY} ordinary jobs accepted",
        accepted.len()
    );
    world.record.line(&text);
    thread::sleep(FINISH);
    let unanswered = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for (number, id) in accepted.iter().enumerate() {
            let (world, unanswered) = (&world, &unanswered);
            scope.spawn(move || {
                let is_shown = |attempt| {
                    let state = world.state((number + attempt) % entries, id);
                    state.parse::<u16>().is_err()
                };
                if !(0..ATTEMPTS).any(is_shown) {
                    unanswered.lock().unwrap().push(id.clone());
                }
            });
        }
    });
    let unanswered = unanswered.into_inner().unwrap();
    if unanswered.is_empty() {
        let held = accepted.len() == ORDINARY;
        world.record.line("all accepted jobs are shown");
        return if held { Verdict::Held } else { Verdict::NotRun };
    }
    let text = format!(
        "LOST: {} accepted jobs get no answer: {unanswered:?}",
        unanswered.len()
    );
    world.record.line(&text);
    Verdict::Broken
}
