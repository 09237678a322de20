//! The project's programs as processes, with the settings of the deploy folder, and the
//! stand-ins beside them.

use std::collections::HashMap;
use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::{Json, number, object, text};
use crate::record::Record;
use crate::store::{Access, Store};
use crate::worker::{Kind, Worker};

/// Ports of a machine.
const LINKS: u16 = 7720;
const FRONT: u16 = 8161;
const APP: u16 = 8165;
const CONTROL: u16 = 8166;
const READY: u16 = 8167;
const STORE: u16 = 8169;

/// Host and prefix of the queue.
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// Service of the workers.
pub const SERVICE: &str = "huvo11a";
/// Availability zones, by turns.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
/// Attempts after which a job fails.
pub const MAX_ATTEMPTS: u64 = 3;
/// Time that clients wait for an answer.
const CLIENT_LIMIT: Duration = Duration::from_millis(3_000);
/// Time for all processes to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);

/// A machine with one process of the project.
pub struct Machine {
    ip: IpAddr,
    program: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Its access to the store.
    pub store: Access,
}

impl Machine {
    /// An address of this machine.
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Address for clients, of an entry.
    pub fn front(&self) -> SocketAddr {
        self.address(FRONT)
    }

    /// Starts the process.
    pub fn start(&mut self) -> std::io::Result<()> {
        unsafe extern "C" {
            fn prctl(option: i32, value: u64) -> i32;
        }
        const PR_SET_PDEATHSIG: i32 = 1;
        const SIGKILL: u64 = 9;
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(format!("target/release/{}", self.program));
        command.arg("--config").arg(&self.settings);
        command.stdin(Stdio::null());
        command.stderr(log.try_clone()?).stdout(log);
        // SAFETY: the call only sets an attribute of the new process: it ends with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All processes and stand-ins of a case.
pub struct System {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub entries: Vec<Machine>,
    pub agents: Vec<Machine>,
    pub workers: Vec<Worker>,
    /// Last answer on the state of each job.
    told: Mutex<HashMap<String, (u16, String)>>,
}

/// Renders a template of the deploy folder: values, and sections of values that are not set.
fn render(template: &str, values: &[(&str, String)]) -> String {
    let mut text = template.to_owned();
    while let Some(start) = text.find("{{#") {
        let Some(end) = text[start..].find("}}").map(|end| start + end) else {
            break;
        };
        let name = text[start + 3..end].to_owned();
        let close = format!("{{{{/{name}}}}}");
        let Some(stop) = text.find(&close) else {
            break;
        };
        text.replace_range(start..stop + close.len(), "");
    }
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}

/// Address of a machine in a block of loopback addresses.
fn block_address(block: u32, number: usize) -> Ipv4Addr {
    let [_, _, high, low] = block.to_be_bytes();
    Ipv4Addr::new(127, 64 + high % 128, low, number as u8 + 1)
}

/// A block of loopback addresses on which the ports of all machines are free.
fn free_block(machines: usize) -> std::io::Result<u32> {
    const PORTS: [u16; 6] = [LINKS, FRONT, APP, CONTROL, READY, STORE];
    let is_free = |block: &u32| {
        (0..machines).all(|number| {
            let ip = block_address(*block, number);
            PORTS
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        })
    };
    let first = std::process::id();
    let free = (first..first + 64).find(is_free);
    free.ok_or_else(|| std::io::Error::other("no free ports"))
}

impl System {
    /// Starts the store, `entries` entries and one agent beside each worker of `kinds`.
    pub fn start(folder: &Path, entries: usize, kinds: &[Kind]) -> std::io::Result<Self> {
        let record = Record::new();
        let store = Store::start();
        store.write("op/config", &settings(1));
        let block = free_block(entries + kinds.len())?;
        let machine = |number: usize, program: &'static str, zone: &str| {
            let ip = block_address(block, number);
            let role = if program.ends_with("entry") {
                "edge"
            } else {
                "side"
            };
            let name = format!("{role}-{zone}-{}", number + 1);
            let address = |port: u16| SocketAddr::new(ip.into(), port).to_string();
            let values = [
                ("node", name.clone()),
                ("zone", zone.to_owned()),
                ("ip", ip.to_string()),
                ("listen.front", address(FRONT)),
                ("listen.ready", address(READY)),
                ("listen.control", address(CONTROL)),
                ("internal_ports.0", LINKS.to_string()),
                ("app", address(APP)),
                ("platform.address", address(STORE)),
                ("limits.cpu_share", "0.1".to_owned()),
                ("bounds.hold_max_ms", "10000".to_owned()),
            ];
            let template = match role {
                "edge" => fs::read_to_string("deploy/entry.ini")?,
                _ => fs::read_to_string("deploy/agent.ini")?,
            };
            let settings = folder.join(format!("{name}.ini"));
            fs::write(&settings, render(&template, &values))?;
            Ok::<_, std::io::Error>(Machine {
                log: folder.join(format!("{name}.log")),
                ip: ip.into(),
                program,
                settings,
                child: None,
                store: store.access(SocketAddr::new(ip.into(), STORE))?,
            })
        };
        let mut system = Self {
            record: record.clone(),
            store: store.clone(),
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            told: Mutex::default(),
        };
        for number in 0..entries {
            let zone = ZONES[number % ZONES.len()];
            let mut entry = machine(number, "parsleytally-entry", zone)?;
            entry.start()?;
            system.entries.push(entry);
        }
        for (at, kind) in kinds.iter().enumerate() {
            let mut agent = machine(entries + at, "parsleytally-agent", kind.zone)?;
            agent.start()?;
            let (app, control) = (agent.address(APP), agent.address(CONTROL));
            let name = format!("w{}", at + 1);
            let worker = Worker::start(&name, app, control, kind.clone(), &record)?;
            system.agents.push(agent);
            system.workers.push(worker);
        }
        Ok(system)
    }

    /// Waits until each entry is ready and a job with a task on each worker has completed.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + READY_LIMIT;
        let is_ready = |entry: &Machine| {
            let answer = call(
                "GET",
                entry.address(READY),
                "/api/ready",
                &[],
                "",
                CLIENT_LIMIT,
            );
            answer.is_some_and(|(status, _)| status == 200)
        };
        while !self.entries.iter().all(is_ready) {
            if Instant::now() > end {
                return Err("an entry is not ready".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        let step = object([
            ("count", number(self.workers.len() as u64)),
            ("cpu", number(100)),
            ("mem_mb", number(64)),
            ("estimate_ms", number(100)),
            ("max_per_server", number(1)),
        ]);
        let id = "00000000000000aa";
        if !self.submit(0, id, "ms=100", vec![step]) {
            return Err("the first job is not accepted".to_owned());
        }
        while self.state(0, id).as_deref() != Some("completed") || self.leader().is_none() {
            if Instant::now() > end {
                return Err("the first job does not complete".to_owned());
            }
            thread::sleep(Duration::from_millis(100));
        }
        self.record
            .note("all entries are ready, each worker has run a task");
        Ok(())
    }

    fn client(&self, entry: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let deadline = CLIENT_LIMIT.as_millis().to_string();
        let headers = [("host", HOST), ("x-deadline-ms", deadline.as_str())];
        let to = self.entries[entry % self.entries.len()].front();
        let path = format!("{PREFIX}{id}");
        call(method, to, &path, &headers, body, CLIENT_LIMIT)
    }

    /// Submits a job; returns whether it was accepted.
    pub fn submit(&self, entry: usize, id: &str, spec: &str, steps: Vec<Json>) -> bool {
        let body = object([("spec", text(spec)), ("steps", Json::List(steps))]);
        let answer = self.client(entry, "POST", id, &body.to_string());
        let status = answer.as_ref().map_or(0, |(status, _)| *status);
        self.record
            .note(format!("POST {id} at entry {entry}: {status}"));
        status / 100 == 2
    }

    /// Cancels a job; returns the status of the answer, 0 without one.
    pub fn cancel(&self, entry: usize, id: &str) -> u16 {
        let answer = self.client(entry, "DELETE", id, "");
        let status = answer.map_or(0, |(status, _)| status);
        self.record
            .note(format!("DELETE {id} at entry {entry}: {status}"));
        status
    }

    /// The entry that last renewed a lease at the store: it leads.
    pub fn leader(&self) -> Option<usize> {
        let entries = self.entries.iter().enumerate();
        let renewed = entries.filter_map(|(at, entry)| Some((entry.store.renewed()?, at)));
        renewed.max().map(|(_, at)| at)
    }

    /// State of a job; none without an answer that tells it.
    pub fn state(&self, entry: usize, id: &str) -> Option<String> {
        let (status, body) = self.client(entry, "GET", id, "")?;
        let state = Json::parse(body.as_bytes())?.get("state").text().to_owned();
        let mut told = self.told.lock().unwrap();
        if told.insert(id.to_owned(), (status, state.clone())) != Some((status, state.clone())) {
            self.record.note(format!(
                "GET {id} at entry {entry}: {status} {state:?}, first or changed"
            ));
        }
        (status == 200).then_some(state)
    }

    /// Number of pending jobs of the queue; none without an answer that tells it.
    pub fn pending(&self, entry: usize) -> Option<u64> {
        let (status, body) = self.client(entry, "GET", "", "")?;
        let pending = Json::parse(body.as_bytes())?.get("pending").number();
        (status == 200).then_some(pending)
    }
}

/// The manifest as the operator writes it.
fn settings(version: u64) -> Json {
    let route = object([
        ("name", text("lohu")),
        ("host", text(HOST)),
        ("prefix", text(PREFIX)),
        ("kind", text("unsafe")),
        ("timeout_ms", number(3_000)),
        ("slo_ms", number(1_000)),
        ("priority", number(1)),
        ("service", text(SERVICE)),
        ("max_attempts", number(MAX_ATTEMPTS)),
        ("stretch", number(2)),
    ]);
    let service = object([
        ("name", text(SERVICE)),
        ("health_path", text("/health")),
        ("max_conns", number(64)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("rejects_overload", Json::Bool(false)),
        ("spare", Json::Bool(false)),
    ]);
    let limits = object([
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(262_144)),
        ("header_timeout_ms", number(3_000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    object([
        ("version", number(version)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}
