//! Stand-in of a worker: runs tasks under a lease and checks in at the agent beside it.
//!
//! The first word of a task's `spec` is the time of its work in milliseconds.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Handler, Reply, Request, Server, call};
use crate::json::Json;
use crate::record::Record;

const HOLD_MAX_MS: u64 = 10_000;
const STOP_TIME: Duration = Duration::from_millis(100);
const CHECK_IN: Duration = Duration::from_millis(1_500);
const MOST_ENDS: usize = 500;

/// What a judge reads: starts and ends as the worker carried them out.
#[derive(Debug, Clone)]
pub struct Event {
    pub at: Instant,
    pub task: String,
    /// `start`, or how the run ended.
    pub what: String,
}

struct Run {
    began: Instant,
    ends: Instant,
    how: &'static str,
}

struct Life {
    id: String,
    born: u64,
    began: Instant,
    fence: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: VecDeque<(u64, Json)>,
    last_end: u64,
    highest: HashMap<String, u64>,
    sequence: u64,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.began.elapsed().as_millis()).unwrap()
    }
}

/// A worker with one lifetime after another.
pub struct Worker {
    pub name: String,
    rack: String,
    life: Mutex<Option<Life>>,
    ends: Condvar,
    events: Arc<Mutex<Vec<Event>>>,
    record: Arc<Record>,
    server: OnceLock<Server>,
    control: OnceLock<SocketAddr>,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    u64::try_from(now.as_millis()).unwrap()
}

impl Worker {
    pub fn start(
        name: &str,
        rack: &str,
        record: &Arc<Record>,
        events: &Arc<Mutex<Vec<Event>>>,
    ) -> Arc<Self> {
        let worker = Arc::new(Self {
            name: name.to_owned(),
            rack: rack.to_owned(),
            life: Mutex::new(None),
            ends: Condvar::new(),
            events: events.clone(),
            record: record.clone(),
            server: OnceLock::new(),
            control: OnceLock::new(),
        });
        let serving = worker.clone();
        let handler: Handler = Arc::new(move |request| serving.serve(&request));
        let _ = worker.server.set(Server::start(handler));
        worker.begin_life();
        let ticking = worker.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(5));
                ticking.tick();
            }
        });
        worker
    }

    /// Address at which it accepts the calls of its machine.
    pub fn address(&self) -> SocketAddr {
        self.server.get().unwrap().address
    }

    /// Checks in at this address from now on.
    pub fn report_to(self: &Arc<Self>, control: SocketAddr) {
        let _ = self.control.set(control);
        let worker = self.clone();
        thread::spawn(move || {
            loop {
                let accepted = worker.check_in();
                let pause = if accepted {
                    CHECK_IN
                } else {
                    Duration::from_millis(200)
                };
                thread::sleep(pause);
            }
        });
    }

    fn begin_life(&self) {
        let born = unix_ms();
        *self.life.lock().unwrap() = Some(Life {
            id: format!("i-{}-{born}", self.name),
            born,
            began: Instant::now(),
            fence: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: VecDeque::new(),
            last_end: 0,
            highest: HashMap::new(),
            sequence: 0,
        });
    }

    fn note(&self, task: &str, run: u64, what: &str) {
        self.record
            .line(&format!("{} task {task} run {run}: {what}", self.name));
        self.events.lock().unwrap().push(Event {
            at: Instant::now(),
            task: task.to_owned(),
            what: what.to_owned(),
        });
    }

    fn check_in(&self) -> bool {
        let (path, body) = {
            let mut life = self.life.lock().unwrap();
            let Some(life) = life.as_mut() else {
                return false;
            };
            life.sequence += 1;
            let capacity = [
                ("cpu", 16_000.into()),
                ("mem_mb", 64_000.into()),
                ("gpu", 0.into()),
            ];
            let body = Json::object([
                ("service", "listings".into()),
                ("address", self.address().to_string().as_str().into()),
                ("zone", "hu-central-a".into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0.into()),
                ("capacity", Json::object(capacity)),
                ("labels", vec!["a".into(), self.rack.as_str().into()].into()),
                ("clock_ms", life.clock_ms().into()),
                ("born", life.born.into()),
                ("sequence", life.sequence.into()),
            ]);
            (format!("/api/instances/{}", life.id), body.to_string())
        };
        let Some(control) = self.control.get() else {
            return false;
        };
        let (status, _) = call(
            *control,
            "PUT",
            &path,
            &[("Host", "control")],
            &body,
            Duration::from_secs(1),
        );
        (200..300).contains(&status)
    }

    /// Ends the runs whose time has come, and all once the lease has expired.
    fn tick(&self) {
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else { return };
        let now = Instant::now();
        let lapsed = life.deadline_ms <= life.clock_ms();
        let is_over = |run: &Run| lapsed || run.ends <= now;
        let over: Vec<(String, u64)> = {
            let runs = life.running.iter().filter(|(_, run)| is_over(run));
            runs.map(|(name, _)| name.clone()).collect()
        };
        for name in over {
            let run = life.running.remove(&name).unwrap();
            let how = if run.ends <= now { run.how } else { "lapsed" };
            life.last_end += 1;
            let row = vec![
                life.last_end.into(),
                name.0.as_str().into(),
                name.1.into(),
                how.into(),
                "".into(),
            ];
            life.ended.push_back((life.last_end, row.into()));
            let highest = life.highest.entry(name.0.clone()).or_default();
            *highest = name.1.max(*highest);
            self.note(&name.0, name.1, how);
            self.ends.notify_all();
        }
    }

    fn serve(&self, request: &Request) -> Reply {
        let order = Json::parse(&request.body);
        let mut guard = self.life.lock().unwrap();
        let Some(life) = guard.as_mut() else {
            return Reply::Drop;
        };
        let target = request.header("x-target-instance");
        if target.is_some_and(|target| target != life.id) {
            let answer = Json::object([("clock_ms", life.clock_ms().into())]);
            return Reply::Answer(421, answer.to_string());
        }
        if order.get("fencing_token").number() < life.fence {
            return refuse(life, "fence");
        }
        life.fence = order.get("fencing_token").number();
        let limit = life.clock_ms() + HOLD_MAX_MS;
        let deadline_ms = order.get("deadline_ms").number().min(limit);
        let (task, run) = (
            order.get("task").text().to_owned(),
            order.get("run").number(),
        );
        match request.path.as_str() {
            "/api/run-start" if life.running.contains_key(&(task.clone(), run)) => {}
            "/api/run-start" => {
                if deadline_ms <= life.clock_ms() {
                    return refuse(life, "late");
                }
                life.deadline_ms = life.deadline_ms.max(deadline_ms);
                if life.highest.get(&task).copied().unwrap_or(0) >= run {
                    return refuse(life, "old");
                }
                let work_ms = order
                    .get("spec")
                    .text()
                    .split(' ')
                    .next()
                    .unwrap_or_default();
                let work_ms = work_ms.parse().unwrap_or(1_000);
                let began = Instant::now();
                let ends = began + Duration::from_millis(work_ms);
                let how = "done";
                life.running
                    .insert((task.clone(), run), Run { began, ends, how });
                self.note(&task, run, "start");
            }
            "/api/run-stop" => {
                let highest = life.highest.entry(task.clone()).or_default();
                *highest = run.max(*highest);
                let stops = Instant::now() + STOP_TIME;
                if let Some(run) = life.running.get_mut(&(task, run))
                    && run.ends > stops
                {
                    (run.ends, run.how) = (stops, "stopped");
                }
            }
            "/api/hold" => {
                life.deadline_ms = life.deadline_ms.max(deadline_ms);
                let seen = order.get("last_seen").number();
                life.ended.retain(|(number, _)| *number > seen);
                let wait = Duration::from_millis(order.get("wait_ms").number());
                let id = life.id.clone();
                let until = Instant::now() + wait;
                loop {
                    let Some(life) = guard.as_ref().filter(|life| life.id == id) else {
                        return Reply::Drop;
                    };
                    let left = until.saturating_duration_since(Instant::now());
                    if !life.ended.is_empty() || left.is_zero() {
                        return Reply::Answer(200, list(life).to_string());
                    }
                    guard = self.ends.wait_timeout(guard, left).unwrap().0;
                }
            }
            _ => {}
        }
        let answer = Json::object([("clock_ms", life.clock_ms().into())]);
        Reply::Answer(200, answer.to_string())
    }
}

fn refuse(life: &Life, reason: &str) -> Reply {
    let answer = Json::object([
        ("clock_ms", life.clock_ms().into()),
        ("reason", reason.into()),
    ]);
    Reply::Answer(409, answer.to_string())
}

fn list(life: &Life) -> Json {
    let running = life.running.iter().map(|((task, number), run)| {
        let length = (run.ends - run.began).as_millis().max(1);
        let percent = (run.began.elapsed().as_millis() * 100 / length).min(100);
        let percent = u64::try_from(percent).unwrap();
        let row = vec![
            task.as_str().into(),
            (*number).into(),
            "".into(),
            percent.into(),
            500.into(),
        ];
        Json::List(row)
    });
    let ended = life
        .ended
        .iter()
        .take(MOST_ENDS)
        .map(|(_, row)| row.clone());
    Json::object([
        ("clock_ms", life.clock_ms().into()),
        ("born", life.born.into()),
        ("running", running.collect::<Vec<_>>().into()),
        ("finished", ended.collect::<Vec<_>>().into()),
    ])
}
