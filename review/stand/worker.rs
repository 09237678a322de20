//! Stand-in of a worker, as PROTOCOL.md describes it: carries out the orders of the agent on its
//! machine, enforces leases and fence numbers, and checks in.
//!
//! The spec of a task says how it works: `ms=500 fails=1 failms=200 ...` works for 500 ms, but its
//! first run fails after 200 ms.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Request, Server, call};
use crate::json::{Json, number, object, text};
use crate::record::Record;

/// Time between two check-ins.
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Time limit of a check-in.
const CHECK_IN_LIMIT: Duration = Duration::from_millis(1_000);
/// Longest lease, in milliseconds.
const HOLD_MAX_MS: u64 = 10_000;
/// Time that a stop takes.
const STOP_TIME: Duration = Duration::from_millis(100);
/// Time between two looks at the runs.
const TICK: Duration = Duration::from_millis(5);
/// Work time from which on a task counts as one that lasts, and its startup, in milliseconds.
const LASTING_MS: u128 = 3_600_000;
const STARTUP_MS: u128 = 300;
/// Most ended runs in one answer.
const MAX_ENDS: usize = 500;

/// What a worker is like.
#[derive(Debug, Clone)]
pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    /// Thousandths of processors.
    pub cpu: u64,
    pub mem_mb: u64,
    pub label: &'static str,
    pub rack: String,
}

struct Running {
    ends: Instant,
    began: Instant,
    how: &'static str,
    checkpoint: String,
    at: usize,
}

#[derive(Default)]
struct State {
    /// Highest fence number.
    fence: u64,
    /// End of the lease on the clock of this life, in milliseconds.
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Running>,
    /// Highest run that was stopped or ended, for each task.
    highest: BTreeMap<String, u64>,
    ended: VecDeque<(u64, Json)>,
    last_end: u64,
}

/// One life of a worker.
struct Life {
    id: String,
    born: u64,
    began: Instant,
    state: Mutex<State>,
    ends: Condvar,
}

impl Life {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn answer(&self, status: u16) -> Answer {
        let body = object([("clock_ms", number(self.clock_ms()))]);
        Some((status, body.to_string()))
    }

    fn refuse(&self, reason: &str) -> Answer {
        let clock_ms = number(self.clock_ms());
        let body = object([("clock_ms", clock_ms), ("reason", text(reason))]);
        Some((409, body.to_string()))
    }
}

struct Inner {
    name: String,
    address: SocketAddr,
    control: SocketAddr,
    kind: Kind,
    record: Arc<Record>,
    /// Whether it fails its health: it rejects starts with 503 and does nothing of them.
    unhealthy: Mutex<bool>,
    life: Mutex<Option<(Arc<Life>, Server)>>,
    lives: Mutex<u64>,
}

/// A worker over its lives.
#[derive(Clone)]
pub struct Worker(Arc<Inner>);

impl Worker {
    /// Starts the worker's first life; it accepts calls at `address` and checks in at `control`.
    pub fn start(
        name: &str,
        address: SocketAddr,
        control: SocketAddr,
        kind: Kind,
        record: &Arc<Record>,
    ) -> std::io::Result<Self> {
        let worker = Self(Arc::new(Inner {
            name: name.to_owned(),
            address,
            control,
            kind,
            record: record.clone(),
            unhealthy: Mutex::new(false),
            life: Mutex::new(None),
            lives: Mutex::new(0),
        }));
        worker.revive()?;
        Ok(worker)
    }

    /// Name of the worker.
    pub fn name(&self) -> &str {
        &self.0.name
    }

    /// Sets whether it rejects all starts with 503.
    pub fn set_unhealthy(&self, unhealthy: bool) {
        *self.0.unhealthy.lock().unwrap() = unhealthy;
        let state = if unhealthy { "unhealthy" } else { "healthy" };
        self.0
            .record
            .note(format!("worker {} is {state}", self.name()));
    }

    /// Starts a new life with an id of its own.
    pub fn revive(&self) -> std::io::Result<()> {
        let mut lives = self.0.lives.lock().unwrap();
        *lives += 1;
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let life = Arc::new(Life {
            id: format!("i-{}-{lives}", self.name()),
            born: now.unwrap_or_default().as_millis() as u64,
            began: Instant::now(),
            state: Mutex::default(),
            ends: Condvar::new(),
        });
        let (worker, served) = (self.clone(), life.clone());
        let handler = move |request: Request| worker.handle(&served, &request);
        let server = Server::start(self.0.address, Arc::new(handler))?;
        let text = format!("worker {} starts its life {}", self.name(), life.id);
        self.0.record.note(text);
        *self.0.life.lock().unwrap() = Some((life.clone(), server));
        let (worker, ticking) = (self.clone(), life.clone());
        thread::spawn(move || {
            while worker.is_alive(&ticking) {
                worker.tick(&ticking);
                thread::sleep(TICK);
            }
        });
        let worker = self.clone();
        thread::spawn(move || worker.check_in(&life));
        Ok(())
    }

    /// Ends the present life at once: its runs are gone, and it sends nothing more.
    pub fn crash(&self) {
        let life = self.0.life.lock().unwrap().take();
        let Some((life, server)) = life else {
            return;
        };
        let running = std::mem::take(&mut life.state.lock().unwrap().running);
        for run in running.values() {
            self.0.record.ended(run.at, "gone");
        }
        let text = format!(
            "worker {} crashes, {} runs are gone",
            self.name(),
            running.len()
        );
        self.0.record.note(text);
        server.close();
    }

    fn is_alive(&self, life: &Arc<Life>) -> bool {
        let present = self.0.life.lock().unwrap();
        present
            .as_ref()
            .is_some_and(|(present, _)| Arc::ptr_eq(present, life))
    }

    fn check_in(&self, life: &Arc<Life>) {
        let kind = &self.0.kind;
        for sequence in 1.. {
            if !self.is_alive(life) {
                return;
            }
            let capacity = object([
                ("cpu", number(kind.cpu)),
                ("mem_mb", number(kind.mem_mb)),
                ("gpu", number(0)),
            ]);
            let labels = Json::List(vec![text(kind.label), text(&kind.rack)]);
            let body = object([
                ("service", text(kind.service)),
                ("address", text(self.0.address.to_string())),
                ("zone", text(kind.zone)),
                ("version", text("v1")),
                ("slots", number(8)),
                ("state", text("ready")),
                ("cold_left_ms", number(0)),
                ("capacity", capacity),
                ("labels", labels),
                ("clock_ms", number(life.clock_ms())),
                ("born", number(life.born)),
                ("sequence", number(sequence)),
            ]);
            let path = format!("/api/instances/{}", life.id);
            let body = body.to_string();
            let sent = call("PUT", self.0.control, &path, &[], &body, CHECK_IN_LIMIT);
            let taken = sent.is_some_and(|(status, _)| status / 100 == 2);
            thread::sleep(if taken { HEARTBEAT } else { HEARTBEAT / 5 });
        }
    }

    fn handle(&self, life: &Arc<Life>, request: &Request) -> Answer {
        let target = request.headers.get("x-target-instance");
        if target.is_some_and(|target| *target != life.id) {
            return life.answer(421);
        }
        let Some(order) = Json::parse(&request.body) else {
            return life.answer(400);
        };
        let path = request.path.as_str();
        if path == "/api/run-start" && *self.0.unhealthy.lock().unwrap() {
            let text = format!("{} rejects {} with 503", self.name(), order.get("task"));
            self.0.record.note(text);
            return life.answer(503);
        }
        let mut state = life.state.lock().unwrap();
        if order.get("fencing_token").number() < state.fence {
            return life.refuse("fence");
        }
        state.fence = order.get("fencing_token").number();
        let limit = life.clock_ms() + HOLD_MAX_MS;
        let deadline_ms = order.get("deadline_ms").number().min(limit);
        let (task, run) = (order.get("task").text(), order.get("run").number());
        match path {
            "/api/run-start" => {
                if state.running.contains_key(&(task.to_owned(), run)) {
                    return life.answer(200);
                }
                if deadline_ms <= life.clock_ms() {
                    return life.refuse("late");
                }
                state.deadline_ms = state.deadline_ms.max(deadline_ms);
                if state.highest.get(task).is_some_and(|known| *known >= run) {
                    return life.refuse("old");
                }
                self.begin(&mut state, task, run, &order);
                life.answer(200)
            }
            "/api/run-stop" => {
                let highest = state.highest.entry(task.to_owned()).or_default();
                *highest = run.max(*highest);
                if let Some(running) = state.running.get_mut(&(task.to_owned(), run)) {
                    let stops = Instant::now() + STOP_TIME;
                    if stops < running.ends {
                        (running.ends, running.how) = (stops, "stopped");
                    }
                }
                life.answer(200)
            }
            "/api/pace" => life.answer(200),
            "/api/hold" => {
                state.deadline_ms = state.deadline_ms.max(deadline_ms);
                let seen = order.get("last_seen").number();
                state.ended.retain(|(at, _)| *at > seen);
                let wait = Duration::from_millis(order.get("wait_ms").number().min(2_000));
                let end = Instant::now() + wait;
                while state.ended.is_empty() && self.is_alive(life) {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    state = life.ends.wait_timeout(state, left).unwrap().0;
                }
                Some((200, listing(life, &state).to_string()))
            }
            _ => life.answer(404),
        }
    }

    fn begin(&self, state: &mut State, task: &str, run: u64, order: &Json) {
        let spec = order.get("spec").text();
        let at = self.0.record.started(task, run, self.name());
        let fails = self.0.record.runs_of(task).len() as u64 <= word(spec, "fails=").unwrap_or(0);
        let (work, how) = if fails {
            (word(spec, "failms="), "failed")
        } else {
            (word(spec, "ms="), "done")
        };
        let began = Instant::now();
        let running = Running {
            ends: began + Duration::from_millis(work.unwrap_or(500)),
            began,
            how,
            checkpoint: order.get("checkpoint").text().to_owned(),
            at,
        };
        state.running.insert((task.to_owned(), run), running);
    }

    /// Ends the runs whose time has come, and all once the lease has expired.
    fn tick(&self, life: &Life) {
        let mut state = life.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = state.deadline_ms <= life.clock_ms();
        let over = state
            .running
            .iter()
            .filter(|(_, run)| lapsed || run.ends <= now);
        let over: Vec<(String, u64)> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            let Some(run) = state.running.remove(&key) else {
                continue;
            };
            let how = if run.ends <= now { run.how } else { "lapsed" };
            self.0.record.ended(run.at, how);
            let highest = state.highest.entry(key.0.clone()).or_default();
            *highest = key.1.max(*highest);
            state.last_end += 1;
            let sequence = state.last_end;
            let row = Json::List(vec![
                number(sequence),
                text(key.0),
                number(key.1),
                text(how),
                text(run.checkpoint),
            ]);
            state.ended.push_back((sequence, row));
            life.ends.notify_all();
        }
    }
}

fn listing(life: &Life, state: &State) -> Json {
    let running = state.running.iter().map(|((task, run), row)| {
        let length = (row.ends - row.began).as_millis().max(1);
        // A task that lasts is at work after a short startup.
        let length = if length >= LASTING_MS {
            STARTUP_MS
        } else {
            length
        };
        let percent = row.began.elapsed().as_millis() * 100 / length;
        Json::List(vec![
            text(task),
            number(*run),
            text(&row.checkpoint),
            number(percent.min(100) as u64),
            number(0),
        ])
    });
    let ended = state.ended.iter().take(MAX_ENDS);
    object([
        ("clock_ms", number(life.clock_ms())),
        ("born", number(life.born)),
        ("running", Json::List(running.collect())),
        (
            "finished",
            Json::List(ended.map(|(_, row)| row.clone()).collect()),
        ),
    ])
}

/// The number after a word of a spec.
fn word(spec: &str, name: &str) -> Option<u64> {
    let mut words = spec.split(' ').filter_map(|word| word.strip_prefix(name));
    words.next()?.parse().ok()
}
