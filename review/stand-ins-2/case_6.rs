//! Entries are stopped and started in turn after some hours of the sheet's usual traffic: each new
//! owner reads all jobs that ever ended, exceeds its machine's memory and is killed.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::world::{Platform, World, usual_job};

/// A job that has ended, of which the store gets copies.
const ENDED: &str = "00000000000e0ded";
/// Jobs that are handed in each second: `seat-check` 4.46, `programme-rebuild` 0.978, `feed-watch`
/// 0.05.
const JOBS_PER_S: f64 = 5.488;
/// Hours of traffic before the restarts.
const HOURS: f64 = 12.0;
/// Mean length of a job's `spec` in bytes: 4.46 of 500, 0.978 and 0.05 of 150.
const SPEC_BYTES: usize = 435;
/// `grace_s`: time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(6);
/// `gap_s` of the restarts.
const GAP: Duration = Duration::from_secs(2);
/// Ordinary jobs that are handed in after the restarts have begun, and the time between two.
const ORDINARY: usize = 15;
const PAUSE: Duration = Duration::from_secs(2);
/// Attempts of a client, each at the next entry.
const ATTEMPTS: usize = 5;
/// Time after the end of the traffic until jobs are looked at: `finish_s` and 3 s.
const FINISH: Duration = Duration::from_secs(17);

const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

pub fn run(trouble: bool) -> Verdict {
    let world = World::start(3, 4);
    if !world.serves() || world.submit(0, ENDED, &usual_job("100", SPEC_BYTES)) != 200 {
        world.record.line("the deployment does not serve");
        return Verdict::NotRun;
    }
    let limit = Instant::now() + Duration::from_secs(10);
    while world.state(0, ENDED) != "completed" {
        if Instant::now() > limit {
            return Verdict::NotRun;
        }
        thread::sleep(Duration::from_millis(200));
    }
    let copies = (JOBS_PER_S * HOURS * 3_600.0) as u64;
    world.store.copy_job(ENDED, copies);
    let text =
        format!("store: holds {copies} ended jobs, as after {HOURS} hours of the sheet's traffic");
    world.record.line(&text);
    let is_over = Arc::new(AtomicBool::new(false));
    let accepted = Mutex::new(Vec::new());
    let platform = Mutex::new(Platform::default());
    thread::scope(|scope| {
        let (world, accepted, platform) = (&world, &accepted, &platform);
        let over = is_over.clone();
        scope.spawn(move || {
            while !over.load(Ordering::SeqCst) {
                platform.lock().unwrap().look(world);
                thread::sleep(Duration::from_millis(10));
            }
        });
        if trouble {
            scope.spawn(|| restart_in_turn(world, platform));
        }
        for number in 0..ORDINARY {
            scope.spawn(move || {
                let id = format!("{:016x}", 0x1000 + number);
                let body = usual_job("500", SPEC_BYTES);
                let is_accepted = |attempt| {
                    let status = world.submit((number + attempt) % world.entries.len(), &id, &body);
                    if status != 200 {
                        thread::sleep(Duration::from_secs(1));
                    }
                    status == 200
                };
                if (0..ATTEMPTS).any(is_accepted) {
                    accepted.lock().unwrap().push(id);
                }
            });
            thread::sleep(PAUSE);
        }
        thread::sleep(FINISH);
        is_over.store(true, Ordering::SeqCst);
    });
    let platform = platform.into_inner().unwrap();
    let mut accepted = accepted.into_inner().unwrap();
    accepted.sort();
    let idle: Vec<&String> = accepted
        .iter()
        .filter(|id| world.events_of(id).is_empty())
        .collect();
    let text = format!(
        "{} of {ORDINARY} ordinary jobs accepted; {} entries killed over their memory, most {} kB",
        accepted.len(),
        platform.killed,
        platform.most_kb
    );
    world.record.line(&text);
    if idle.is_empty() || !world.is_half_free(240) {
        world
            .record
            .line("all accepted jobs have begun, or the workers are in use");
        return if accepted.is_empty() {
            Verdict::NotRun
        } else {
            Verdict::Held
        };
    }
    let text = format!(
        "LOST: {} accepted jobs have nothing running on idle workers: {idle:?}",
        idle.len()
    );
    world.record.line(&text);
    Verdict::Broken
}

/// Stops the entries in turn; the platform starts each again.
fn restart_in_turn(world: &World, platform: &Mutex<Platform>) {
    for entry in &world.entries {
        world
            .record
            .line(&format!("platform: SIGTERM to {}", entry.name));
        entry.signal(SIGTERM);
        let limit = Instant::now() + GRACE;
        let runs = || platform.lock().unwrap().runs(world, &entry.name);
        while runs() && Instant::now() < limit {
            thread::sleep(Duration::from_millis(20));
        }
        if runs() && Instant::now() >= limit {
            entry.signal(SIGKILL);
        }
        while !runs() {
            thread::sleep(Duration::from_millis(20));
        }
        thread::sleep(GAP);
    }
}
