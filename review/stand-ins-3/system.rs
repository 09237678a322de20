//! The programs as processes, started as the deploy file says, beside the stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::time::Duration;

use crate::http::{self, Channels};
use crate::json::{Value, table};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{SERVICE, Worker};

pub const HOST: &str = "records.example";
pub const PREFIX: &str = "/jobs/";
const LINKS: u16 = 7720;
const FRONT: u16 = 8161;
const APP: u16 = 8165;
const CONTROL: u16 = 8166;
const READY: u16 = 8167;
const STORE: u16 = 8169;
/// Time for which a client waits for an answer.
pub const PATIENCE: Duration = Duration::from_millis(3_200);

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

/// A process and its machine.
pub struct Machine {
    ip: IpAddr,
    run: Vec<String>,
    child: Option<Child>,
    log: PathBuf,
    /// Its channels to the store.
    pub store: Arc<Channels>,
}

impl Machine {
    pub fn address(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    pub fn front(&self) -> SocketAddr {
        self.address(FRONT)
    }

    fn start(&mut self) -> std::io::Result<()> {
        let log = std::fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let mut command = Command::new(&self.run[0]);
        command.args(&self.run[1..]).stdin(Stdio::null());
        command.stderr(log.try_clone()?).stdout(log);
        // The child ends with this process, whatever becomes of it.
        unsafe {
            command.pre_exec(|| {
                prctl(1, 9);
                Ok(())
            });
        }
        self.child = Some(command.spawn()?);
        Ok(())
    }

    fn kill(&mut self) {
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

/// A client of one entry.
pub struct Client {
    entry: usize,
    front: SocketAddr,
    record: Arc<Record>,
}

impl Client {
    /// A call, for whose answer it waits `limit`; the answer and the time that it took are recorded.
    pub fn call(
        &self,
        method: &str,
        path: &str,
        body: &str,
        limit: Duration,
    ) -> Option<(u16, String)> {
        let headers = [("Host", HOST), ("X-Deadline-Ms", "3000")];
        let sent = self.record.time();
        let answer = http::call(self.front, method, path, &headers, body, limit);
        let took = (self.record.time() - sent) * 1_000.0;
        let text = answer
            .as_ref()
            .map_or("no answer".to_owned(), |(status, body)| {
                format!("{status} {body}")
            });
        let entry = self.entry;
        self.record.note(format!(
            "client: {method} {path} at entry {entry}: {text} ({took:.0} ms)"
        ));
        answer
    }

    /// Submits a job of one step, whose tasks last if `work_ms` is 0; the status of the answer.
    pub fn submit(
        &self,
        job: &str,
        tasks: u64,
        cpu: u64,
        work_ms: u64,
        limit: Duration,
    ) -> Option<u16> {
        let step = table()
            .with("count", tasks)
            .with("cpu", cpu)
            .with("mem_mb", 16)
            .with("estimate_ms", work_ms.max(300));
        let step = if work_ms == 0 {
            step.with("long_running", true)
        } else {
            step
        };
        let body = table()
            .with("spec", format!("work={work_ms}"))
            .with("steps", vec![step]);
        let path = format!("{PREFIX}{job}");
        let answer = self.call("POST", &path, &body.to_string(), limit);
        answer.map(|(status, _)| status)
    }
}

/// Entries, agents with their workers, and the store.
pub struct System {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub entries: Vec<Machine>,
    pub agents: Vec<Machine>,
    /// Each with its channels, in the order of the agents.
    pub workers: Vec<(Arc<Worker>, Arc<Channels>)>,
    folder: PathBuf,
}

/// Program and arguments of a role, by the deploy file.
fn run_line(role: &str, settings: &Path) -> Option<Vec<String>> {
    let deploy = std::fs::read_to_string("deploy/system.toml").ok()?;
    let section = deploy.split(&format!("[roles.{role}]")).nth(1)?;
    let line = section
        .lines()
        .find_map(|line| line.strip_prefix("run = "))?;
    let words = line.trim_matches('"').split(' ');
    let words = words.map(|word| match word {
        "/etc/parsleytally/node.yaml" => settings.display().to_string(),
        word => word.to_owned(),
    });
    Some(words.collect())
}

/// The template of a role, filled for one machine.
fn settings(role: &str, name: &str, zone: &str, ip: IpAddr) -> std::io::Result<String> {
    let mut text = std::fs::read_to_string(format!("deploy/{role}.ini"))?;
    // A section of a bound that these pages don't set.
    while let (Some(start), Some(end)) = (text.find("{{#"), text.find("{{/")) {
        let end = end + text[end..].find("}}").unwrap_or(0) + 2;
        text.replace_range(start..end, "");
    }
    let address = |port| SocketAddr::new(ip, port).to_string();
    let is_entry = role == "entry";
    let values = [
        ("node", name.to_owned()),
        ("zone", zone.to_owned()),
        ("ip", ip.to_string()),
        ("internal_ports.0", LINKS.to_string()),
        ("listen.front", address(FRONT)),
        ("listen.ready", address(READY)),
        ("listen.control", address(CONTROL)),
        ("app", address(APP)),
        ("platform.address", address(STORE)),
        ("limits.cpu_share", "0.1".to_owned()),
        (
            "limits.memory_mb",
            if is_entry { "260" } else { "128" }.to_owned(),
        ),
        (
            "limits.max_fds",
            if is_entry { "4100" } else { "4096" }.to_owned(),
        ),
        ("bounds.hold_max_ms", "10000".to_owned()),
    ];
    for (field, value) in values {
        text = text.replace(&format!("{{{{{field}}}}}"), &value);
    }
    if text.contains("{{") {
        return Err(std::io::Error::other(
            "a placeholder of the template is not known",
        ));
    }
    Ok(text)
}

/// A manifest with one queue, and another one with this name if there is one.
pub fn manifest(version: u64, further: Option<&str>) -> Value {
    let route = |name: &str, prefix: &str| {
        table()
            .with("name", name)
            .with("host", HOST)
            .with("prefix", prefix)
            .with("kind", "unsafe")
            .with("timeout_ms", 3_000)
            .with("slo_ms", 1_000)
            .with("priority", 1)
            .with("service", SERVICE)
            .with("max_attempts", 3)
            .with("stretch", Value::Number(2.0))
    };
    let mut routes = vec![route("jobs", PREFIX)];
    routes.extend(further.map(|name| route(name, &format!("/{name}/"))));
    let service = table()
        .with("name", SERVICE)
        .with("health_path", "/health")
        .with("max_conns", 64)
        .with("protocol", "h1")
        .with("tls", false)
        .with("rejects_overload", false)
        .with("spare", false);
    let limits = table()
        .with("max_header_bytes", 16_384)
        .with("max_body_bytes", 262_144)
        .with("header_timeout_ms", 3_000)
        .with("idle_timeout_ms", 15_000);
    table()
        .with("version", version)
        .with("routes", routes)
        .with("services", vec![service])
        .with("limits", limits)
}

impl System {
    pub fn start(
        record: &Arc<Record>,
        entries: usize,
        agents: usize,
        cpu: u64,
    ) -> std::io::Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("review-3-{process}"));
        std::fs::create_dir_all(&folder)?;
        let store = Store::start();
        store.write("op/config", &manifest(2, None));
        let mut system = Self {
            record: record.clone(),
            store,
            entries: Vec::new(),
            agents: Vec::new(),
            workers: Vec::new(),
            folder,
        };
        for number in 0..entries + agents {
            let (role, at) = if number < entries {
                ("entry", number)
            } else {
                ("agent", number - entries)
            };
            let (name, zone) = (
                format!("{role}-{at}"),
                ["zone-a", "zone-b", "zone-c"][at % 3],
            );
            let ip = Ipv4Addr::new(
                127,
                64 + (process >> 8 & 63) as u8,
                process as u8,
                number as u8 + 1,
            );
            let machine = system.machine(role, &name, zone, ip.into())?;
            if role == "entry" {
                system.entries.push(machine);
            } else {
                let addresses = (machine.address(APP), machine.address(CONTROL));
                system
                    .workers
                    .push(Worker::start(at, zone, addresses, cpu, record)?);
                system.agents.push(machine);
            }
        }
        Ok(system)
    }

    fn machine(&self, role: &str, name: &str, zone: &str, ip: IpAddr) -> std::io::Result<Machine> {
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, settings(role, name, zone, ip)?)?;
        let run = run_line(role, &path).ok_or_else(|| std::io::Error::other("no run line"))?;
        let store = self.store.serve(SocketAddr::new(ip, STORE))?;
        let log = self.folder.join(format!("{name}.log"));
        let mut machine = Machine {
            ip,
            run,
            child: None,
            log,
            store,
        };
        machine.start()?;
        Ok(machine)
    }

    /// Waits until a short job of one task for each worker has run; false if that takes too long.
    pub fn warm_up(&self) -> bool {
        for attempt in 0..40 {
            std::thread::sleep(Duration::from_millis(250));
            let ready = self.entries.iter().all(|entry| {
                let answer = http::call(
                    entry.address(READY),
                    "GET",
                    "/api/ready",
                    &[],
                    "",
                    Duration::from_secs(1),
                );
                answer.is_some_and(|(status, _)| status == 200)
            });
            let registered = self.store.keys("/parsleytally/fleet/agents/").len();
            if !ready || registered < self.agents.len() {
                continue;
            }
            let job = format!("00000000000000{attempt:02x}");
            let accepted = self.submit(0, &job, 2, 100, 300);
            std::thread::sleep(Duration::from_millis(1_500));
            if accepted == Some(200) && self.state(0, &job).as_deref() == Some("completed") {
                self.record.note("warm-up done");
                return true;
            }
        }
        false
    }

    /// Submits a job of one step at an entry; the status of the answer.
    pub fn submit(
        &self,
        entry: usize,
        job: &str,
        tasks: u64,
        cpu: u64,
        work_ms: u64,
    ) -> Option<u16> {
        self.client(entry)
            .submit(job, tasks, cpu, work_ms, PATIENCE)
    }

    pub fn state(&self, entry: usize, job: &str) -> Option<String> {
        let path = format!("{PREFIX}{job}");
        let (_, body) = self.client(entry).call("GET", &path, "", PATIENCE)?;
        Some(Value::parse(&body)?.text("state").to_owned())
    }

    pub fn client(&self, entry: usize) -> Client {
        Client {
            entry,
            front: self.entries[entry].front(),
            record: self.record.clone(),
        }
    }

    /// Runs of a job on all workers.
    pub fn runs_of(&self, job: &str) -> Vec<crate::worker::Seen> {
        let seen = self
            .workers
            .iter()
            .flat_map(|(worker, _)| worker.seen.lock().unwrap().clone());
        seen.filter(|seen| seen.task.starts_with(job)).collect()
    }
}

impl Drop for System {
    fn drop(&mut self) {
        self.entries
            .iter_mut()
            .chain(&mut self.agents)
            .for_each(Machine::kill);
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}
