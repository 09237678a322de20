//! The cases.

use std::sync::Arc;
use std::time::Duration;

use crate::json::table;
use crate::record::Record;
use crate::system::System;

/// What broke the rule, if anything did; an error if the case could not run.
pub type Verdict = Result<Option<String>, String>;

pub fn play(case: &str, record: &Arc<Record>, trouble: bool) -> Verdict {
    match case {
        "silent-channels" => silent_channels(record, trouble),
        "revoked-tombstone" => revoked_tombstone(record, trouble),
        "innocent-job" => innocent_job(record, trouble),
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

/// Open channels to the workers go silent for good. A job that is handed in later must not wait for 3 s
/// with all workers idle, from `contact_ms` and 4 s after that on.
fn silent_channels(record: &Arc<Record>, trouble: bool) -> Verdict {
    const CALM: f64 = 3.0 + 4.0;
    let system = start(record, 3, 11, 16_000)?;
    let before = "a000000000000001";
    if system.submit(0, before, 24, 240, 1_000) != Some(200) {
        return Err("the first job was not accepted".to_owned());
    }
    while system.runs_of(before).len() < 24 {
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
    if system.state(0, before).as_deref() != Some("completed") {
        return Err("the first job was not completed".to_owned());
    }
    let job = "b000000000000001";
    if system.submit(1, job, 1, 240, 1_000) != Some(200) {
        return Err("the second job was not accepted".to_owned());
    }
    let accepted = record.time();
    while system.runs_of(job).is_empty() && record.time() < accepted + 30.0 {
        pause(5);
    }
    let began = system
        .runs_of(job)
        .first()
        .map_or(record.time(), |run| run.began);
    let calm = (began - silent_at - CALM).max(0.0);
    let text = format!(
        "nothing of {job} ran for {:.2} s after its acceptance, {calm:.2} s of them in the calm time that counts",
        began - accepted
    );
    record.note(&text);
    Ok((calm >= 3.0).then_some(text))
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
    if system.submit(0, "d000000000000001", 36, 1_000, 2_500) != Some(200) {
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

/// A submission gets no answer, as its write is carried out late; its client leaves, cancels the job and
/// gets 410; the entry that answered is turned away and its keys are taken away. The job must not run.
fn revoked_tombstone(record: &Arc<Record>, trouble: bool) -> Verdict {
    const CANCEL: f64 = 3.0;
    const STOP: f64 = 0.4;
    const CONTACT: f64 = 3.0;
    let system = start(record, 3, 3, 16_000)?;
    let job = "e000000000000001";
    if trouble {
        system.store.lose_next(job, Duration::from_millis(5_500));
    }
    // The client leaves after 0.9 s of the 3 s that it announces.
    let client = system.client(0);
    client.submit(job, 1, 500, 15_000, Duration::from_millis(900));
    let mut cancelled = None;
    for _ in 0..20 {
        cancelled = system.cancel(0, job);
        if matches!(cancelled, Some(200..300 | 410)) {
            break;
        }
        pause(200);
    }
    let acknowledged = record.time();
    if !matches!(cancelled, Some(200..300 | 410)) {
        return Err(format!("the cancel was answered {cancelled:?}"));
    }
    if trouble {
        record.note("store: turns entry-0 away with 503, its keys are taken away at once");
        system.store.turn_away(0);
        pause(2_000);
        system.store.admit();
        record.note("store: serves entry-0 again");
    }
    // All machines are in touch again, and the bounds of the cancel have passed.
    let end = record.time().max(acknowledged + 5.5) + CONTACT + CANCEL + STOP;
    while record.time() < end {
        pause(100);
    }
    system.state(1, job);
    let late = system
        .runs_of(job)
        .into_iter()
        .find(|run| run.ended.is_none());
    Ok(late.map(|run| {
        format!(
            "{} began {:.1} s after the acknowledgement of the cancel and still runs {:.1} s after it",
            run.task,
            run.began - acknowledged,
            end - acknowledged
        )
    }))
}

/// Two workers crash, one after the other, each half a second after a task of a job that lasts has
/// started there. No run of the job has ended `failed`, so it must not be shown as failed.
fn innocent_job(record: &Arc<Record>, trouble: bool) -> Verdict {
    const CRASHES: usize = 2;
    let system = start(record, 3, 11, 16_000)?;
    system.submit_regularly(2, Duration::from_millis(1_000), 25);
    pause(1_500);
    let job = "f000000000000001";
    if system.submit(0, job, 6, 1_800, 0) != Some(200) {
        return Err("the job was not accepted".to_owned());
    }
    // Of each worker, the number of runs of the job before it crashed.
    let mut crashes = if trouble { CRASHES } else { 0 };
    let mut known = 0;
    let began = record.time();
    while crashes > 0 && record.time() < began + 30.0 {
        pause(10);
        let runs = system.runs_of(job);
        // The first crash needs all six runs, the second one the run that replaces a lost one.
        if runs.len() < known.max(6) {
            continue;
        }
        known = runs.len() + 1;
        let last = runs.iter().max_by(|a, b| a.began.total_cmp(&b.began));
        let Some(at) = last.map(|run| run.worker) else {
            continue;
        };
        pause(500);
        let (worker, channels) = &system.workers[at];
        worker.crash(channels, Duration::from_millis(1_500));
        crashes -= 1;
    }
    if crashes > 0 {
        return Err("the job did not start again".to_owned());
    }
    let checked = record.time();
    while record.time() < checked + 15.0 {
        pause(1_000);
        if system.state(1, job).as_deref() == Some("failed") {
            let runs = system.runs_of(job).len();
            return Ok(Some(format!(
                "the job is shown as failed after {runs} runs, none of which ended failed"
            )));
        }
    }
    let running = system
        .runs_of(job)
        .iter()
        .filter(|run| run.ended.is_none())
        .count();
    record.note(format!("{running} of 6 tasks run"));
    Ok(None)
}
