//! The cases: each starts the system, disturbs it unless told not to, and checks one rule.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::json::{Json, number, object, text};
use crate::record::Run;
use crate::store::Write;
use crate::system::{SERVICE, System, ZONES};
use crate::worker::Kind;

/// Whether the rule of a case was broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    Held,
    Broken,
}

impl Outcome {
    fn broken_if(broken: bool) -> Self {
        if broken { Self::Broken } else { Self::Held }
    }
}

type Case = fn(&mut System, bool) -> Result<Outcome, String>;

/// Runs written out for each job in the record.
const RUNS_PER_JOB: usize = 40;
/// Entries of the system.
const ENTRIES: usize = 3;
/// Processors of a task, in thousandths.
const TASK_CPU: u64 = 50;
/// Bounds of the deployment.
const FINISH: Duration = Duration::from_secs(14);
const CANCEL_MS: u64 = 3_000;
const VISIBLE: Duration = Duration::from_millis(3_000);
/// Time for which a job must have had nothing running, and a little more.
const IDLE: Duration = Duration::from_millis(3_200);

/// Runs the case `name` and writes `record.txt` into the folder.
pub fn run(name: &str, trouble: bool, folder: &Path) -> Result<Outcome, String> {
    let (case, kinds): (Case, Vec<Kind>) = match name {
        "backlog" => (backlog, workers(3, 16_000, 64_000)),
        "given-up" => (given_up, workers(7, 16_000, 64_000)),
        "unasked" => (unasked, workers(7, 16_000, 64_000)),
        "quarantine" => (quarantine, workers(7, 16_000, 64_000)),
        "pending" => (pending, workers(7, 16_000, 64_000)),
        _ => return Err(format!("no case {name}")),
    };
    let logs = std::env::temp_dir().join(format!("parsleytally-review-{}", std::process::id()));
    let failed = |error: std::io::Error| error.to_string();
    std::fs::create_dir_all(&logs).map_err(failed)?;
    let mut system = System::start(&logs, ENTRIES, &kinds).map_err(|error| {
        let _ = std::fs::remove_dir_all(&logs);
        failed(error)
    })?;
    let outcome = system
        .wait_ready()
        .and_then(|()| case(&mut system, trouble));
    system.record.note(format!("outcome: {outcome:?}"));
    let written = system.record.write(folder, RUNS_PER_JOB).map_err(failed);
    drop(system);
    if std::env::var("KEEP_LOGS").is_ok() {
        println!("logs of the processes: {}", logs.display());
    } else {
        let _ = std::fs::remove_dir_all(&logs);
    }
    written.and(outcome)
}

/// Workers in three zones and racks; the seventh is of another kind.
fn workers(count: usize, cpu: u64, mem_mb: u64) -> Vec<Kind> {
    let worker = |number: usize| Kind {
        service: SERVICE,
        zone: ZONES[number % ZONES.len()],
        cpu,
        mem_mb,
        label: if number == 6 { "b" } else { "a" },
        rack: format!("r1-{}", number % ZONES.len()),
    };
    (0..count).map(worker).collect()
}

/// A step of tasks that need few resources.
fn small_step(count: u64, estimate_ms: u64) -> Vec<(String, Json)> {
    let step = object([
        ("count", number(count)),
        ("cpu", number(TASK_CPU)),
        ("mem_mb", number(64)),
        ("estimate_ms", number(estimate_ms)),
    ]);
    match step {
        Json::Object(fields) => fields,
        _ => Vec::new(),
    }
}

/// Adds a field to a step.
fn with(mut step: Vec<(String, Json)>, name: &str, value: Json) -> Vec<(String, Json)> {
    step.push((name.to_owned(), value));
    step
}

fn is_running(run: &Run) -> bool {
    run.ended.is_none()
}

/// The process of the leading entry is killed, and started again 1 s later, while clients submit
/// jobs at the other entries.
///
/// LOST: `finish_s` after the end of the traffic, a job must not have nothing running for 3 s while
/// a task's turn has come, there is room for it twice over and under half of the room is in use.
fn backlog(system: &mut System, trouble: bool) -> Result<Outcome, String> {
    const JOBS: usize = 160;
    const TASKS: u64 = 36;
    /// The longest spec that PROTOCOL.md allows.
    const SPEC_BYTES: usize = 4_000;
    const PAUSE: Duration = Duration::from_millis(15);
    const RESTART: Duration = Duration::from_secs(1);
    let bytes = std::env::var("SPEC_BYTES").ok();
    let bytes = bytes
        .and_then(|text| text.parse().ok())
        .unwrap_or(SPEC_BYTES);
    let spec = format!("{:x<bytes$}", "ms=200 ");
    let leader = system.leader().ok_or("no entry leads")?;
    let others: Vec<usize> = (0..ENTRIES).filter(|at| *at != leader).collect();
    let mut accepted = Vec::new();
    let mut killed: Option<Instant> = None;
    for job in 0..JOBS {
        if trouble && job == 2 {
            system
                .record
                .note(format!("entry {leader}, which leads, is killed"));
            system.entries[leader].kill();
            killed = Some(Instant::now());
        }
        if killed.is_some_and(|at| at.elapsed() >= RESTART) {
            system.record.note(format!("entry {leader} starts again"));
            system.entries[leader]
                .start()
                .map_err(|error| error.to_string())?;
            killed = None;
        }
        let id = format!("0000000000000e{job:02x}");
        let step = Json::Object(small_step(TASKS, 200));
        if system.submit(others[job % others.len()], &id, &spec, vec![step]) {
            accepted.push(id);
        }
        thread::sleep(PAUSE);
    }
    let count = accepted.len();
    system
        .record
        .note(format!("end of the traffic: {count} jobs accepted"));
    if count < JOBS / 2 {
        return Err("too few jobs are accepted".to_owned());
    }
    thread::sleep(FINISH);
    let runs = |system: &System, id: &str| system.record.runs_of(id);
    let mut idle = accepted.clone();
    let mut most_in_use = 0;
    let began = Instant::now();
    while began.elapsed() < IDLE {
        idle.retain(|id| !runs(system, id).iter().any(is_running));
        let in_use = system.record.running() as u64 * TASK_CPU;
        most_in_use = most_in_use.max(in_use);
        thread::sleep(Duration::from_millis(50));
    }
    let state = |system: &System, id: &str| system.state(others[0], id);
    idle.retain(|id| !matches!(state(system, id).as_deref(), Some("completed" | "failed")));
    system.record.note(format!(
        "finish_s after the end of the traffic: {} of {count} accepted jobs have had nothing running \
         for 3 s and have not ended; at most {most_in_use} thousandths of 48000 were in use",
        idle.len()
    ));
    if let Some(id) = idle.first() {
        let (state, begun) = (state(system, id), runs(system, id).len());
        system.record.note(format!(
            "one of them: {id}, {state:?}, {begun} runs of its {TASKS} tasks"
        ));
    }
    Ok(Outcome::broken_if(!idle.is_empty() && most_in_use < 24_000))
}

/// Two workers crash one after the other, each soon after it has started the task of a sound job.
///
/// LOST: the job must not be shown as `failed` without cause; only ends `failed` count as attempts.
fn given_up(system: &mut System, trouble: bool) -> Result<Outcome, String> {
    const CRASHES: usize = 2;
    const AFTER_START_MS: u64 = 400;
    const DOWN: Duration = Duration::from_millis(1_000);
    const WATCHED: Duration = Duration::from_secs(40);
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let crashes = number("CRASHES").map_or(CRASHES, |crashes: u64| crashes as usize);
    let after_start = Duration::from_millis(number("AFTER_START_MS").unwrap_or(AFTER_START_MS));
    let id = "00000000000000d1";
    let step = Json::Object(small_step(1, 3_000));
    if !system.submit(0, id, "ms=3000", vec![step]) {
        return Err("the job is not accepted".to_owned());
    }
    let accepted = Instant::now();
    let mut crashed = 0;
    let mut state = None;
    while accepted.elapsed() < WATCHED {
        thread::sleep(Duration::from_millis(20));
        let runs = system.record.runs_of(id);
        if trouble && crashed < crashes && runs.len() > crashed {
            thread::sleep(after_start);
            let name = &runs[crashed].worker;
            let worker = system.workers.iter().find(|worker| worker.name() == name);
            let worker = worker.ok_or_else(|| format!("no worker {name}"))?;
            worker.crash();
            thread::sleep(DOWN);
            worker.revive().map_err(|error| error.to_string())?;
            crashed += 1;
        }
        state = system.state(0, id);
        if matches!(state.as_deref(), Some("completed" | "failed")) {
            break;
        }
    }
    let runs = system.record.runs_of(id);
    let failed = runs.iter().filter(|run| run.how == "failed").count();
    system.record.note(format!(
        "job: {state:?} after {} runs, {failed} of which ended `failed`",
        runs.len()
    ));
    Ok(Outcome::broken_if(
        state.as_deref() == Some("failed") && failed == 0,
    ))
}

/// The store loses the answers to the writes of one submission and carries one of them out late.
/// The client is told that the outcome is unknown, and cancels the job.
///
/// UNASKED: no task may start later than `cancel_ms` after the cancelling was acknowledged.
fn unasked(system: &mut System, trouble: bool) -> Result<Outcome, String> {
    const OTHERS: usize = 30;
    const PAUSE: Duration = Duration::from_millis(90);
    const LATE: Duration = Duration::from_millis(5_900);
    const WATCHED: Duration = Duration::from_secs(12);
    let id = "00000000000000f1";
    let leader = system.leader().ok_or("no entry leads")?;
    let entry = (0..ENTRIES).find(|at| *at != leader).unwrap_or(0);
    if trouble {
        let writes = [Write::Lost, Write::Late(LATE)];
        system.store.lose_answers(id, &writes);
    }
    let step = with(small_step(2, 1_000), "long_running", Json::Bool(true));
    let steps = vec![Json::Object(step)];
    let accepted = thread::scope(|scope| {
        let system = &*system;
        let client = scope.spawn(move || system.submit(entry, id, "ms=3600000", steps));
        // Other clients submit meanwhile, so that only a share of the writes lose their answers.
        for other in 0..OTHERS {
            let name = format!("00000000000001{other:02x}");
            let step = Json::Object(small_step(2, 300));
            system.submit(other, &name, "ms=300", vec![step]);
            thread::sleep(PAUSE);
        }
        client.join().unwrap_or(false)
    });
    if accepted == trouble {
        return Err(format!("the submission was accepted: {accepted}"));
    }
    let (lost, answered) = system.store.end_losses();
    system.record.note(format!(
        "answers lost to {lost} writes, {answered} others were answered"
    ));
    let status = system.cancel(entry, id);
    if status / 100 != 2 && status != 410 {
        return Err(format!("the cancelling is answered with {status}"));
    }
    let acknowledged = system.record.now();
    thread::sleep(WATCHED);
    let runs = system.record.runs_of(id);
    let is_late = |run: &&Run| run.began > acknowledged + CANCEL_MS;
    let late = runs.iter().filter(is_late).count();
    let running = runs.iter().filter(|run| is_running(run)).count();
    let state = system.state(entry, id);
    system.record.note(format!(
        "cancelling acknowledged at {acknowledged} ms; {late} runs began later than {CANCEL_MS} ms \
         after that, {running} still run, the job is shown as {state:?}"
    ));
    Ok(Outcome::broken_if(late > 0))
}

/// Jobs that can never be done fail on the only worker with a label; then the task of a sound job
/// that lasts fails there once by its own fault, and must be restarted.
///
/// LOST: from 6 s after its last run, a task that lasts must not have nothing running for 3 s while
/// there is room for it twice over and these 3 s and the 4 s before are calm.
fn quarantine(system: &mut System, trouble: bool) -> Result<Outcome, String> {
    const HOPELESS: usize = 5;
    const SOUND: usize = 100;
    const PAUSE: Duration = Duration::from_millis(22);
    const FROM_LAST_RUN: Duration = Duration::from_secs(6);
    const WATCHED: Duration = Duration::from_secs(20);
    let id = "00000000000000a1";
    let step = with(small_step(1, 1_000), "required_label", text("b"));
    let lasting = with(step.clone(), "long_running", Json::Bool(true));
    let spec = "ms=3600000 fails=1 failms=3000";
    if !system.submit(0, id, spec, vec![Json::Object(lasting)]) {
        return Err("the job is not accepted".to_owned());
    }
    // Sound jobs for the other workers, so that only one job of twenty is hopeless.
    let sound = with(small_step(1, 300), "required_label", text("a"));
    let began = Instant::now();
    for job in 0..SOUND {
        if trouble && job == SOUND / 2 {
            for job in 0..HOPELESS {
                let id = format!("00000000000002{job:02x}");
                let spec = "ms=300 fails=99 failms=300";
                if !system.submit(job, &id, spec, vec![Json::Object(step.clone())]) {
                    return Err("a hopeless job is not accepted".to_owned());
                }
            }
        }
        let id = format!("00000000000003{job:02x}");
        system.submit(job, &id, "ms=300", vec![Json::Object(sound.clone())]);
        thread::sleep(PAUSE);
    }
    let (sent, millis) = (SOUND + 1 + HOPELESS, began.elapsed().as_millis());
    system.record.note(format!(
        "{sent} jobs within {millis} ms, {HOPELESS} of them hopeless if disturbed"
    ));
    let runs = |system: &System| system.record.runs_of(id);
    let end = Instant::now() + WATCHED;
    while runs(system).first().is_none_or(is_running) {
        if Instant::now() > end {
            return Err("the first run does not fail".to_owned());
        }
        thread::sleep(Duration::from_millis(10));
    }
    let failed = Instant::now();
    system
        .record
        .note("the first run of the task that lasts has failed");
    while runs(system).len() < 2 && failed.elapsed() < WATCHED {
        thread::sleep(Duration::from_millis(10));
    }
    let waited = failed.elapsed();
    let (state, millis) = (system.state(1, id), waited.as_millis());
    system.record.note(format!(
        "it ran again {millis} ms later; the job is shown as {state:?}"
    ));
    Ok(Outcome::broken_if(waited > FROM_LAST_RUN + IDLE))
}

/// The only worker with a label rejects all starts with 503 for a while; jobs wait for it.
///
/// MIXED: `pending` must not be under half of the jobs that were accepted over `visible_ms` + 2 s
/// before and have not begun.
fn pending(system: &mut System, trouble: bool) -> Result<Outcome, String> {
    const JOBS: usize = 4;
    const SLACK: Duration = Duration::from_millis(300);
    const UNHEALTHY: Duration = Duration::from_millis(6_500);
    let worker = system.workers[6].clone();
    let began = Instant::now();
    if trouble {
        worker.set_unhealthy(true);
    }
    let ids: Vec<String> = (0..JOBS)
        .map(|job| format!("00000000000000c{job}"))
        .collect();
    for (at, id) in ids.iter().enumerate() {
        let step = with(small_step(1, 300), "required_label", text("b"));
        if !system.submit(at, id, "ms=300", vec![Json::Object(step)]) {
            return Err("a job is not accepted".to_owned());
        }
    }
    thread::sleep(VISIBLE + Duration::from_secs(2) + SLACK);
    let mut broken = false;
    for entry in 0..ENTRIES {
        let told = system.pending(entry);
        let has_begun = |id: &&String| !system.record.runs_of(id).is_empty();
        let unbegun = (JOBS - ids.iter().filter(has_begun).count()) as u64;
        let states: Vec<_> = ids.iter().map(|id| system.state(entry, id)).collect();
        system.record.note(format!(
            "entry {entry}: pending {told:?}, {unbegun} accepted jobs have not begun, states {states:?}"
        ));
        broken |= told.is_some_and(|told| told * 2 < unbegun);
    }
    if trouble {
        thread::sleep(UNHEALTHY.saturating_sub(began.elapsed()));
        worker.set_unhealthy(false);
    }
    thread::sleep(Duration::from_secs(3));
    for id in &ids {
        let state = system.state(0, id);
        system
            .record
            .note(format!("job {id} in the end: {state:?}"));
    }
    Ok(Outcome::broken_if(broken))
}
