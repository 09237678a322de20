//! A small deployment: the project's programs as processes with the commands and templates of the
//! deploy file, beside the stand-ins.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Event, Worker};

/// Host of the queue to which the clients submit jobs.
pub const HOST: &str = "nony24.example";
/// Prefix of its paths.
pub const PREFIX: &str = "/lohu930/";
/// Time that clients wait for an answer.
pub const BUDGET: Duration = Duration::from_secs(3);
/// Longest time until the deployment serves.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A process of the system on a machine of its own.
pub struct Machine {
    pub name: String,
    /// Number of the process at the store.
    pub at_store: usize,
    /// `front` of an entry, `control` of an agent.
    pub listen: SocketAddr,
    ready: SocketAddr,
    program: String,
    settings: PathBuf,
    child: Mutex<Option<Child>>,
}

/// Option of `prctl`: the process is ended once the thread that started it has gone, so that none is
/// left if a script is killed.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
}

impl Machine {
    fn spawn(&self, dir: &Path) {
        let log = dir.join(format!("{}.log", self.name));
        let log = File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new(&self.program);
        command.arg("--config").arg(&self.settings);
        command
            .env_clear()
            .env("PARSLEYTALLY_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        // SAFETY: the call is safe between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command.spawn().expect("a program of the deploy file");
        *self.child.lock().unwrap() = Some(child);
    }

    /// Sends a signal to this process.
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &*self.child.lock().unwrap() {
            // SAFETY: the process is a child that was not waited for.
            unsafe { kill(i32::try_from(child.id()).unwrap(), signal) };
        }
    }

    /// Memory in use, in kB; none if the process has ended.
    fn memory_kb(&self) -> Option<u64> {
        let mut child = self.child.lock().unwrap();
        let running = child.as_mut()?;
        if running.try_wait().ok()?.is_some() {
            *child = None;
            return None;
        }
        let status = fs::read_to_string(format!("/proc/{}/status", running.id())).ok()?;
        let mut lines = status
            .lines()
            .filter_map(|line| line.strip_prefix("VmRSS:"));
        let words = lines.next().unwrap_or_default().trim();
        Some(
            words
                .split(' ')
                .next()
                .and_then(|word| word.parse().ok())
                .unwrap_or(0),
        )
    }

    pub fn end(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Memory of an entry's machine: `memory_mb`.
const MEMORY_MB: u64 = 260;
/// Delay after which a process that has ended starts again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

/// The platform's care for the entries: it ends a process over its memory, and starts each process
/// that has ended again.
#[derive(Default)]
pub struct Platform {
    ended: Vec<Option<Instant>>,
    /// Most memory of an entry, in kB.
    pub most_kb: u64,
    /// Processes that were ended for their memory.
    pub killed: usize,
}

impl Platform {
    /// Whether the process of an entry runs.
    pub fn runs(&self, world: &World, name: &str) -> bool {
        let mut entries = world.entries.iter().zip(&self.ended);
        entries.any(|(entry, ended)| entry.name == name && ended.is_none())
    }

    /// Looks at all entries once.
    pub fn look(&mut self, world: &World) {
        self.ended.resize(world.entries.len(), None);
        for (entry, ended) in world.entries.iter().zip(&mut self.ended) {
            let memory_kb = entry.memory_kb();
            self.most_kb = self.most_kb.max(memory_kb.unwrap_or(0));
            if memory_kb.is_some_and(|kb| kb > MEMORY_MB * 1_024) {
                entry.end();
                self.killed += 1;
                let text = format!(
                    "platform: {} exceeds {MEMORY_MB} MB and is killed",
                    entry.name
                );
                world.record.line(&text);
            } else if memory_kb.is_some() {
                continue;
            }
            let at = *ended.get_or_insert_with(Instant::now);
            if at.elapsed() >= RESTART_DELAY {
                *ended = None;
                entry.spawn(&world.dir);
                world
                    .record
                    .line(&format!("platform: {} is started again", entry.name));
            }
        }
    }
}

/// The deployment.
pub struct World {
    pub record: Arc<Record>,
    pub events: Arc<Mutex<Vec<Event>>>,
    pub store: Arc<Store>,
    pub entries: Vec<Machine>,
    pub agents: Vec<Machine>,
    pub workers: Vec<Arc<Worker>>,
    dir: PathBuf,
}

impl Drop for World {
    fn drop(&mut self) {
        self.entries
            .iter()
            .chain(&self.agents)
            .for_each(Machine::end);
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        } else {
            self.record.line(&format!("logs in {}", self.dir.display()));
        }
    }
}

fn free(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

/// The command of a role in the deploy file.
fn command(role: &str) -> String {
    let text = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let section = format!("[roles.{role}]");
    let lines = text.lines().skip_while(|line| *line != section);
    let mut runs = lines.filter_map(|line| line.strip_prefix("run = \""));
    let words = runs.next().expect("a run line");
    words.split(' ').next().expect("a program").to_owned()
}

/// Fills a template of the deploy file; sections without a value are left out.
fn fill(template: &str, values: &[(&str, String)]) -> String {
    let mut text = fs::read_to_string(template).expect("a template");
    while let Some(start) = text.find("{{#") {
        let name_end = text[start..].find("}}").expect("a section") + start;
        let close = format!("{{{{/{}}}}}", &text[start + 3..name_end]);
        let end = text.find(&close).expect("the end of a section") + close.len();
        text.replace_range(start..end, "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    assert!(!text.contains("{{"), "a value is missing in {template}");
    text
}

impl World {
    /// Starts a deployment and waits until it serves.
    pub fn start(entries: usize, workers: usize) -> Self {
        let record = Record::create(Path::new(
            &std::env::var("RECORD").unwrap_or("record.txt".into()),
        ));
        let record = Arc::new(record.expect("record.txt"));
        let number = std::process::id();
        let dir = std::env::temp_dir().join(format!("parsleytally-review-{number}"));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let mut world = Self {
            record,
            events: Arc::default(),
            store: Store::start(),
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            dir,
        };
        world.write_manifest();
        for at in 0..entries {
            let ip = world.ip(at);
            world.add_entry(at, ip);
        }
        for at in 0..workers {
            let ip = world.ip(64 + at);
            world.add_agent(at, ip);
        }
        for machine in world.entries.iter().chain(&world.agents) {
            machine.spawn(&world.dir);
        }
        for (worker, agent) in world.workers.iter().zip(&world.agents) {
            worker.report_to(agent.listen);
        }
        world
    }

    /// A loopback address for each machine, different in each run.
    fn ip(&self, machine: usize) -> Ipv4Addr {
        let number = std::process::id();
        let (high, low) = (number / 200 % 200, number % 200);
        Ipv4Addr::new(127, 20 + high as u8, 1 + low as u8, 1 + machine as u8)
    }

    fn add_entry(&mut self, at: usize, ip: Ipv4Addr) {
        let (at_store, store) = self.store.open();
        let (front, ready, links) = (free(ip), free(ip), free(ip));
        let name = format!("edge-{}", at + 1);
        let values = [
            ("node", name.clone()),
            ("zone", format!("hu-central-{}", ["a", "b", "c"][at % 3])),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", ip.to_string()),
            ("internal_ports.0", links.port().to_string()),
            ("platform.address", store.to_string()),
            ("limits.cpu_share", "0.1".to_owned()),
        ];
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, fill("deploy/entry.ini", &values)).expect("settings");
        self.entries.push(Machine {
            name,
            at_store,
            listen: front,
            ready,
            program: command("entry"),
            settings,
            child: Mutex::default(),
        });
    }

    fn add_agent(&mut self, at: usize, ip: Ipv4Addr) {
        let (at_store, store) = self.store.open();
        let (control, links) = (free(ip), free(ip));
        let name = format!("side-{}", at + 1);
        let rack = format!("r1-{}", at / 3);
        let worker = Worker::start(
            &format!("worker-{}", at + 1),
            &rack,
            &self.record,
            &self.events,
        );
        let values = [
            ("node", name.clone()),
            ("zone", format!("hu-central-{}", ["a", "b", "c"][at % 3])),
            ("listen.control", control.to_string()),
            ("ip", ip.to_string()),
            ("internal_ports.0", links.port().to_string()),
            ("platform.address", store.to_string()),
            ("app", worker.address().to_string()),
            ("bounds.hold_max_ms", "10000".to_owned()),
        ];
        let settings = self.dir.join(format!("{name}.ini"));
        fs::write(&settings, fill("deploy/agent.ini", &values)).expect("settings");
        self.workers.push(worker);
        self.agents.push(Machine {
            name,
            at_store,
            listen: control,
            ready: control,
            program: command("agent"),
            settings,
            child: Mutex::default(),
        });
    }

    fn write_manifest(&self) {
        let route = Json::object([
            ("name", "r-1".into()),
            ("host", HOST.into()),
            ("prefix", PREFIX.into()),
            ("service", "listings".into()),
            ("timeout_ms", 3_000.into()),
            ("slo_ms", 1_000.into()),
            ("priority", 0.into()),
            ("max_attempts", 4.into()),
            ("stretch", Json::Float(2.5)),
        ]);
        let service = [
            ("name", "listings".into()),
            ("rejects_overload", Json::Bool(false)),
        ];
        let limits = Json::object([("max_body_bytes", 262_144.into())]);
        let manifest = Json::object([
            ("version", 3.into()),
            ("routes", vec![route].into()),
            ("services", vec![Json::object(service)].into()),
            ("limits", limits),
        ]);
        self.store.write("op/config", &manifest);
    }

    /// Waits until a job of one short task on each entry has completed; returns false if the
    /// deployment does not serve.
    pub fn serves(&self) -> bool {
        let limit = Instant::now() + START_LIMIT;
        for entry in &self.entries {
            let is_ready = || {
                let (status, _) = call(
                    entry.ready,
                    "GET",
                    "/api/ready",
                    &[("Host", "x")],
                    "",
                    BUDGET,
                );
                status == 200
            };
            while !is_ready() {
                if Instant::now() > limit {
                    return false;
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        let body = job("100", 1);
        for at in 0..self.entries.len() {
            let id = format!("{:016x}", 0xf000 + at);
            while self.submit(at, &id, &body) != 200 || self.state(at, &id) != "completed" {
                if Instant::now() > limit {
                    return false;
                }
                thread::sleep(Duration::from_millis(200));
            }
        }
        true
    }

    fn request(&self, entry: usize, method: &str, id: &str, body: &str) -> (u16, String) {
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let path = format!("{PREFIX}{id}");
        let entry = &self.entries[entry];
        let answer = call(entry.listen, method, &path, &headers, body, BUDGET);
        self.record.line(&format!(
            "client: {method} {id} at {} -> {} {}",
            entry.name, answer.0, answer.1
        ));
        answer
    }

    pub fn submit(&self, entry: usize, id: &str, body: &str) -> u16 {
        self.request(entry, "POST", id, body).0
    }

    pub fn cancel(&self, entry: usize, id: &str) -> u16 {
        self.request(entry, "DELETE", id, "").0
    }

    /// The state that an entry shows; the status if it shows none.
    pub fn state(&self, entry: usize, id: &str) -> String {
        let (status, body) = self.request(entry, "GET", id, "");
        match status {
            200 => Json::parse(&body).get("state").text().to_owned(),
            status => status.to_string(),
        }
    }

    /// The events of a job's tasks.
    pub fn events_of(&self, id: &str) -> Vec<Event> {
        let events = self.events.lock().unwrap();
        let own = events.iter().filter(|event| event.task.starts_with(id));
        own.cloned().collect()
    }

    /// Whether less than half of the workers' processors is in use, if each run takes `cpu` thousandths.
    pub fn is_half_free(&self, cpu: usize) -> bool {
        let events = self.events.lock().unwrap();
        let starts = events.iter().filter(|event| event.what == "start").count();
        let running = starts - (events.len() - starts);
        self.record
            .line(&format!("{running} runs are in progress on the workers"));
        running * cpu * 2 < self.workers.len() * 16_000
    }

    /// Number of events of this kind of a job's tasks.
    pub fn count(&self, what: &str, id: &str) -> usize {
        let events = self.events.lock().unwrap();
        let own = events.iter().filter(|event| event.what == what);
        own.filter(|event| event.task.starts_with(id)).count()
    }
}

/// Body of a job of two steps with a `spec` of this many bytes, as the sheet's kinds of request have
/// on average.
pub fn usual_job(work_ms: &str, bytes: usize) -> String {
    let step = |after: &[u64]| {
        Json::object([
            ("count", 6.into()),
            ("cpu", 240.into()),
            ("mem_mb", 480.into()),
            ("estimate_ms", 1_000.into()),
            (
                "after",
                after
                    .iter()
                    .map(|step| (*step).into())
                    .collect::<Vec<Json>>()
                    .into(),
            ),
        ])
    };
    let spec = format!("{work_ms} {}", "x".repeat(bytes));
    let steps = vec![step(&[]), step(&[0])];
    Json::object([("spec", spec[..bytes].into()), ("steps", steps.into())]).to_string()
}

/// Body of a job with one step of tasks that each work for `work_ms`.
pub fn job(work_ms: &str, count: u64) -> String {
    let estimate = work_ms.parse::<u64>().unwrap_or(1_000);
    let step = Json::object([
        ("count", count.into()),
        ("cpu", 1_000.into()),
        ("mem_mb", 512.into()),
        ("estimate_ms", estimate.into()),
    ]);
    Json::object([("spec", work_ms.into()), ("steps", vec![step].into())]).to_string()
}
