//! The cases.

use std::sync::Arc;
use std::time::Duration;

use crate::json::table;
use crate::record::Record;
use crate::system::{PATIENCE, System, manifest};

/// What broke the rule, if anything did; an error if the case could not run.
pub type Verdict = Result<Option<String>, String>;

pub fn play(case: &str, record: &Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "silent-channels" => silent_channels(record, trouble),
        "silent-store" => silent_store(record, trouble),
        "foreign-check-in" => foreign_check_in(record, trouble),
        _ => Err(format!("no case {case}")),
    }
}

fn start(record: &Arc<Record>, entries: usize, agents: usize, cpu: u64) -> Result<System, String> {
    let system = System::start(record, entries, agents, cpu).map_err(|error| error.to_string())?;
    if system.warm_up() {
        return Ok(system);
    }
    Err("the system did not become ready".to_owned())
}

fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}

/// Open channels to the workers go silent for good. Jobs that are handed in later, one that ends and one
/// that lasts, must not wait for 3 s with all workers idle, from `contact_ms` and 4 s after that on.
fn silent_channels(record: &Arc<Record>, trouble: bool) -> Verdict {
    const CALM: f64 = 3.0 + 4.0;
    const TASKS: u64 = 32;
    let system = start(record, 3, 11, 16_000)?;
    let before = ["a000000000000001", "a000000000000002", "a000000000000003"];
    let accepted = std::thread::scope(|scope| {
        let submit = |entry: usize| system.submit(entry, before[entry], TASKS, 240, 1_000);
        let calls = [0, 1, 2].map(|entry| scope.spawn(move || submit(entry)));
        calls.map(|call| call.join().is_ok_and(|status| status == Some(200)))
    });
    if accepted != [true; 3] {
        return Err("a first job was not accepted".to_owned());
    }
    while before
        .iter()
        .any(|job| system.runs_of(job).len() < TASKS as usize)
    {
        pause(1);
    }
    pause(2);
    let silent_at = record.time();
    if trouble {
        for (worker, channels) in &system.workers {
            let silent = channels.silence();
            record.note(format!(
                "{}: channels 1 to {silent} are silent from now on, new ones work",
                worker.id()
            ));
        }
    }
    while record.time() < silent_at + 5.0 {
        pause(1);
    }
    let completed = |job: &&str| system.state(0, job).as_deref() == Some("completed");
    if !before.iter().all(|job| completed(&job)) {
        return Err("the first jobs were not completed".to_owned());
    }
    let jobs = [("b000000000000001", 1_000), ("b000000000000002", 0)];
    for (entry, (job, work)) in jobs.iter().enumerate() {
        if system.submit(entry, job, 1, 240, *work) != Some(200) {
            return Err(format!("{job} was not accepted"));
        }
    }
    let accepted = record.time();
    let runs = |job: &str| system.runs_of(job);
    while jobs.iter().any(|(job, _)| runs(job).is_empty()) && record.time() < accepted + 30.0 {
        pause(5);
    }
    let mut broken = None;
    for (job, work) in jobs {
        let began = runs(job).first().map_or(record.time(), |run| run.began);
        let calm = (began - silent_at - CALM).max(0.0);
        let kind = if work == 0 { "lasts" } else { "ends" };
        let text = format!(
            "nothing of {job}, which {kind}, ran for {:.2} s after its acceptance, {calm:.2} s of them in the calm time that counts",
            began - accepted
        );
        record.note(&text);
        if calm >= 3.0 {
            broken = Some(broken.map_or(text.clone(), |other| format!("{other}; {text}")));
        }
    }
    Ok(broken)
}

/// A check-in of another writer arrives under the id of a live worker: one field has another type, two
/// are missing, and its capacity is not the worker's. It names no worker to use.
fn foreign_check_in(record: &Arc<Record>, trouble: bool) -> Verdict {
    let system = start(record, 3, 3, 16_000)?;
    let (worker, _) = &system.workers[0];
    if trouble {
        let capacity = table()
            .with("cpu", 64_000)
            .with("mem_mb", 256_000)
            .with("gpu", 0);
        let foreign = worker
            .check_in(1_000_000)
            .with("slots", "eight")
            .with("capacity", capacity);
        let foreign = foreign.without("address").without("version");
        let taken = worker.send(&foreign);
        record.note(format!(
            "another writer: check-in of {}: {foreign}: acknowledged: {taken}",
            worker.id()
        ));
    }
    pause(200);
    // All workers have room for 48 such tasks together.
    if system.submit(0, "d000000000000001", 32, 1_000, 2_500) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    pause(1_500);
    let mut broken = None;
    for (worker, _) in &system.workers {
        let used = worker.runs() as u64 * 1_000;
        record.note(format!("{}: {used} of {} in use", worker.id(), worker.cpu));
        if used > worker.cpu {
            broken = Some(format!(
                "{} was given {used} of its {} thousandths of a core",
                worker.id(),
                worker.cpu
            ));
        }
    }
    Ok(broken)
}

/// Open channels to the store go silent for good, after some clients came at once. A queue that is added
/// `contact_ms` later must be known to each entry once the manifest is in force.
fn silent_store(record: &Arc<Record>, trouble: bool) -> Verdict {
    const CONTACT: f64 = 3.0;
    const APPLY: f64 = 2.0;
    // Clients that come at once at each entry.
    let per_entry = std::env::var("CLIENTS").ok();
    let per_entry: u64 = per_entry.and_then(|text| text.parse().ok()).unwrap_or(10);
    let system = start(record, 3, 3, 16_000)?;
    if system.submit(0, "a000000000000001", 6, 500, 0) != Some(200) {
        return Err("the job that lasts was not accepted".to_owned());
    }
    pause(500);
    std::thread::scope(|scope| {
        for number in 0..3 * per_entry {
            let client = system.client(number as usize % 3);
            let job = format!("{:016x}", 0xc000_0000_u64 + number);
            scope.spawn(move || client.submit(&job, 1, 100, 300, PATIENCE));
        }
    });
    pause(300);
    let silent_at = record.time();
    if trouble {
        for machine in system.entries.iter().chain(&system.agents) {
            let silent = machine.store.silence();
            record.note(format!(
                "channels 1 to {silent} of a machine to the store are silent from now on"
            ));
        }
    }
    // All machines are in touch again, and the store is stable in any reading, when it is added.
    while record.time() < silent_at + CONTACT {
        pause(1);
    }
    system.store.write("op/config", &manifest(3, Some("extra")));
    let confirmed = record.time();
    record.note("operator: manifest 3 is confirmed, with the new queue extra");
    let due = confirmed + APPLY;
    let mut wrong: Vec<f64> = Vec::new();
    while record.time() < due + 8.0 {
        for entry in 0..3 {
            let sent = record.time();
            let answer = system.client(entry).call("GET", "/extra/", "", PATIENCE);
            if sent > due && answer.is_some_and(|(status, _)| status == 404) {
                wrong.push(sent - due);
            }
        }
        pause(100);
    }
    let lapsed = system.runs_of("a000000000000001").len();
    record.note(format!("{lapsed} runs of the 6 tasks that last"));
    Ok(wrong.last().map(|last| {
        format!("{} answers 404 for a queue that is in force, up to {last:.1} s after they had to know it", wrong.len())
    }))
}
