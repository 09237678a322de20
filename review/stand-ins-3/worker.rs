//! Stand-in of a worker: runs tasks under a lease and sends check-ins to the agent on its machine.
//!
//! The `spec` of a job says how long its tasks work: `work=MS`, or `work=0` until they are stopped.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Channels, Request};
use crate::json::{Value, table};
use crate::record::Record;

pub const SERVICE: &str = "records";
const HEARTBEAT: Duration = Duration::from_millis(1_500);
const HOLD_MAX_MS: u64 = 10_000;
/// Time of a stop; the bound is 400 ms.
const STOP: Duration = Duration::from_millis(50);
/// Time between two looks at what ends.
const TICK: Duration = Duration::from_millis(10);

struct Run {
    began: Instant,
    ends: Option<Instant>,
    how: &'static str,
}

/// One lifetime of a worker.
struct Life {
    id: String,
    born: u64,
    began: Instant,
    sequence: u64,
    reported: Option<Instant>,
    token: u64,
    deadline_ms: u64,
    running: BTreeMap<(String, u64), Run>,
    ended: Vec<(u64, Value)>,
    last_end: u64,
    /// Highest run of each task that was stopped or has ended.
    highest: HashMap<String, u64>,
}

impl Life {
    fn new(id: String) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            id,
            born: born.unwrap_or_default().as_millis() as u64,
            began: Instant::now(),
            sequence: 0,
            reported: None,
            token: 0,
            deadline_ms: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            highest: HashMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn answer(&self) -> Value {
        table().with("clock_ms", self.clock_ms())
    }

    fn refuse(&self, reason: &str) -> Answer {
        Some((409, self.answer().with("reason", reason).to_string()))
    }

    /// Both lists.
    fn listing(&self) -> Value {
        let running = self.running.iter().map(|((task, run), row)| {
            let percent = row.ends.map_or(100, |ends| {
                let length = (ends - row.began).as_millis().max(1);
                (row.began.elapsed().as_millis() * 100 / length).min(100) as u64
            });
            let row: [Value; 5] = [
                task.as_str().into(),
                (*run).into(),
                "".into(),
                percent.into(),
                100.into(),
            ];
            Value::from(row.to_vec())
        });
        let ended = self.ended.iter().take(500).map(|(_, row)| row.clone());
        self.answer()
            .with("born", self.born)
            .with("running", running.collect::<Vec<_>>())
            .with("finished", ended.collect::<Vec<_>>())
    }
}

/// A run as the worker has seen it.
#[derive(Clone)]
pub struct Seen {
    pub task: String,
    run: u64,
    pub began: f64,
    /// When it ended; none while it is in progress.
    pub ended: Option<f64>,
}

pub struct Worker {
    zone: String,
    address: SocketAddr,
    reports: SocketAddr,
    /// Capacity in thousandths of a core.
    pub cpu: u64,
    life: Mutex<Life>,
    changed: Condvar,
    record: Arc<Record>,
    pub seen: Mutex<Vec<Seen>>,
}

impl Worker {
    pub fn start(
        number: usize,
        zone: &str,
        (address, reports): (SocketAddr, SocketAddr),
        cpu: u64,
        record: &Arc<Record>,
    ) -> std::io::Result<(Arc<Self>, Arc<Channels>)> {
        let worker = Arc::new(Self {
            zone: zone.to_owned(),
            address,
            reports,
            cpu,
            life: Mutex::new(Life::new(format!("i-w{number}"))),
            changed: Condvar::new(),
            record: record.clone(),
            seen: Mutex::default(),
        });
        let serving = worker.clone();
        let channels = http::serve(address, Arc::new(move |request| serving.answer(&request)))?;
        let ticking = worker.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(TICK);
                ticking.tick();
                ticking.report_if_due();
            }
        });
        Ok((worker, channels))
    }

    fn life(&self) -> MutexGuard<'_, Life> {
        self.life.lock().unwrap()
    }

    pub fn id(&self) -> String {
        self.life().id.clone()
    }

    /// A check-in of the present lifetime with this number.
    pub fn check_in(&self, sequence: u64) -> Value {
        let life = self.life();
        let capacity = table()
            .with("cpu", self.cpu)
            .with("mem_mb", 64_000)
            .with("gpu", 0);
        let labels = vec![Value::from("a"), Value::from("r1")];
        table()
            .with("service", SERVICE)
            .with("address", self.address.to_string())
            .with("zone", self.zone.as_str())
            .with("version", "v1")
            .with("slots", 8)
            .with("state", "ready")
            .with("cold_left_ms", 0)
            .with("capacity", capacity)
            .with("labels", labels)
            .with("clock_ms", life.clock_ms())
            .with("born", life.born)
            .with("sequence", sequence)
    }

    /// Sends a check-in under the present id; whether it was acknowledged.
    pub fn send(&self, body: &Value) -> bool {
        let path = format!("/api/instances/{}", self.id());
        let limit = Duration::from_millis(1_000);
        let answer = http::call(self.reports, "PUT", &path, &[], &body.to_string(), limit);
        answer.is_some_and(|(status, _)| (200..300).contains(&status))
    }

    fn report_if_due(self: &Arc<Self>) {
        let mut life = self.life();
        let is_due = life.reported.is_none_or(|at| at.elapsed() >= HEARTBEAT);
        if !is_due {
            return;
        }
        life.reported = Some(Instant::now());
        life.sequence += 1;
        let sequence = life.sequence;
        drop(life);
        let worker = self.clone();
        std::thread::spawn(move || worker.send(&worker.check_in(sequence)));
    }

    /// Number of runs in progress.
    pub fn runs(&self) -> usize {
        self.life().running.len()
    }

    fn answer(&self, request: &Request) -> Answer {
        let order = Value::parse(&request.body).unwrap_or(Value::Null);
        let mut life = self.life();
        let target = request.headers.get("x-target-instance");
        if target.is_some_and(|id| *id != life.id) {
            return Some((421, life.answer().to_string()));
        }
        if order.number("fencing_token") < life.token {
            return life.refuse("fence");
        }
        life.token = order.number("fencing_token");
        let limit = life.clock_ms() + HOLD_MAX_MS;
        let deadline_ms = order.number("deadline_ms").min(limit);
        let key = (order.text("task").to_owned(), order.number("run"));
        match request.path.as_str() {
            "/api/run-start" => {
                life.deadline_ms = life.deadline_ms.max(deadline_ms);
                if life.running.contains_key(&key) {
                    return Some((200, life.answer().to_string()));
                }
                if deadline_ms <= life.clock_ms() {
                    return life.refuse("late");
                }
                let highest = life.highest.get(&key.0);
                if highest.is_some_and(|highest| *highest >= key.1) {
                    return life.refuse("old");
                }
                self.begin(&mut life, key, order.text("spec"));
            }
            "/api/run-stop" => {
                let highest = life.highest.entry(key.0.clone()).or_default();
                *highest = key.1.max(*highest);
                let ends = Instant::now() + STOP;
                if let Some(row) = life.running.get_mut(&key)
                    && row.ends.is_none_or(|other| other > ends)
                {
                    (row.ends, row.how) = (Some(ends), "stopped");
                }
            }
            "/api/hold" => {
                life.deadline_ms = life.deadline_ms.max(deadline_ms);
                let seen = order.number("last_seen");
                life.ended.retain(|(number, _)| *number > seen);
                let wait = Duration::from_millis(order.number("wait_ms").min(2_000));
                let end = Instant::now() + wait;
                while life.ended.is_empty() && Instant::now() < end {
                    let left = end.saturating_duration_since(Instant::now());
                    life = self.changed.wait_timeout(life, left).unwrap().0;
                }
                return Some((200, life.listing().to_string()));
            }
            _ => {}
        }
        Some((200, life.answer().to_string()))
    }

    fn begin(&self, life: &mut Life, (task, run): (String, u64), spec: &str) {
        let work = spec
            .strip_prefix("work=")
            .and_then(|text| text.parse().ok());
        let work = work.filter(|work| *work > 0).map(Duration::from_millis);
        let now = Instant::now();
        let row = Run {
            began: now,
            ends: work.map(|work| now + work),
            how: "done",
        };
        self.record
            .note(format!("{}: start {task} run {run}", life.id));
        self.seen.lock().unwrap().push(Seen {
            task: task.clone(),
            run,
            began: self.record.time(),
            ended: None,
        });
        life.running.insert((task, run), row);
    }

    fn end_seen(&self, task: &str, run: u64) {
        let mut seen = self.seen.lock().unwrap();
        let is_open =
            |seen: &&mut Seen| seen.task == task && seen.run == run && seen.ended.is_none();
        if let Some(open) = seen.iter_mut().find(is_open) {
            open.ended = Some(self.record.time());
        }
    }

    /// Ends the runs whose time has come, and all once the lease has expired.
    fn tick(&self) {
        let mut life = self.life();
        let (now, lapsed) = (Instant::now(), life.deadline_ms <= life.clock_ms());
        let over = life.running.iter().filter_map(|(key, row)| {
            let ended = row.ends.is_some_and(|ends| ends <= now);
            (ended || lapsed).then(|| (key.clone(), if ended { row.how } else { "lapsed" }))
        });
        let over: Vec<_> = over.collect();
        for ((task, run), how) in &over {
            life.running.remove(&(task.clone(), *run));
            let highest = life.highest.entry(task.clone()).or_default();
            *highest = (*run).max(*highest);
            life.last_end += 1;
            let number = life.last_end;
            let row: [Value; 5] = [
                number.into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ];
            life.ended.push((number, row.to_vec().into()));
            self.record
                .note(format!("{}: end {task} run {run} {how}", life.id));
            self.end_seen(task, *run);
        }
        if !over.is_empty() {
            self.changed.notify_all();
        }
    }
}
