//! Runs entries, one agent and its worker in the test process, connected by loopback sockets.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, StatusCode};
use parsleytally::leases::{Command, Event, WorkerRun, WorkerRunState};
use parsleytally::types::{Incarnation, RunId, Time};
use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_entry::Entry;
use parsleytally_entry::config::EntryConfig;
use parsleytally_platform::process::http::read_body;
use parsleytally_platform::store::{Commit, MemoryStore, Store, Write};
use parsleytally_platform::worker::{RunUsage, StandInWorker, WorkerControl, WorkerError};
use serde_json::Value;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

/// Polls after which waiting for an expected state fails the test.
const MAX_POLLS: usize = 1_500;
/// Pause between two polls.
const POLL_PAUSE: Duration = Duration::from_millis(20);
/// Link settings of entries and agents.
const LINK_SETTINGS: &str = "\
[link]\nkey = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";

/// A stand-in worker that records the runs on it.
#[derive(Default)]
pub(crate) struct Recorder {
    inner: StandInWorker,
    records: Mutex<Records>,
}

#[derive(Default)]
struct Records {
    starts: Vec<String>,
    executing: BTreeSet<RunId>,
    max_executing: usize,
    resumed: bool,
}

impl Recorder {
    /// IDs of the started runs, in the order of their starts.
    pub(crate) fn starts(&self) -> Vec<String> {
        self.records.lock().unwrap().starts.clone()
    }

    /// Number of runs that execute now.
    pub(crate) fn executing(&self) -> usize {
        self.records.lock().unwrap().executing.len()
    }

    /// Largest number of runs that executed at once.
    pub(crate) fn max_executing(&self) -> usize {
        self.records.lock().unwrap().max_executing
    }

    /// Whether a run was started from a checkpoint.
    pub(crate) fn resumed(&self) -> bool {
        self.records.lock().unwrap().resumed
    }
}

impl WorkerControl for Recorder {
    fn now(&self) -> Time {
        self.inner.now()
    }

    fn attach(&self, incarnation: Incarnation) -> Result<Vec<WorkerRun>, WorkerError> {
        let found = self.inner.attach(incarnation)?;
        let running = found.iter().filter(|f| f.state == WorkerRunState::Running);
        let running = running.map(|f| f.run.clone()).collect();
        self.records.lock().unwrap().executing = running;
        Ok(found)
    }

    fn call(&self, incarnation: Incarnation, command: Command) -> Result<(), WorkerError> {
        if let Command::Start { spec: start, .. } = &command {
            self.records.lock().unwrap().resumed |= start.checkpoint.is_some();
        }
        self.inner.call(incarnation, command)
    }

    fn poll(&self, incarnation: Incarnation) -> Result<Vec<Event>, WorkerError> {
        let events = self.inner.poll(incarnation)?;
        let mut records = self.records.lock().unwrap();
        for event in &events {
            match event {
                Event::Started { run } => {
                    records.starts.push(run.to_string());
                    records.executing.insert(run.clone());
                }
                Event::Ended { run, .. } => {
                    records.executing.remove(run);
                }
                Event::Saved { .. } | Event::Superseded => {}
            }
            records.max_executing = records.max_executing.max(records.executing.len());
        }
        Ok(events)
    }

    fn usage(&self) -> Vec<RunUsage> {
        self.inner.usage()
    }
}

pub(crate) struct Builder {
    pub(crate) entries: usize,
    /// Settings in the section `[ownership]` of the entries.
    pub(crate) ownership: &'static str,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            entries: 1,
            ownership: "interval = 200ms\n",
        }
    }
}

pub(crate) struct System {
    pub(crate) store: Arc<MemoryStore>,
    pub(crate) worker: Arc<Recorder>,
    entries: Vec<Entry>,
    agent: Option<Agent>,
    links: Vec<SocketAddr>,
    ownership: &'static str,
    client: Client,
}

impl Builder {
    pub(crate) async fn start(self) -> System {
        let mut system = System {
            store: Arc::new(MemoryStore::new()),
            worker: Arc::new(Recorder::default()),
            entries: Vec::new(),
            agent: None,
            links: vec!["127.0.0.1:0".parse().unwrap(); self.entries],
            ownership: self.ownership,
            client: Client::builder().build().unwrap(),
        };
        system.start_entries().await;
        system.links = system.entries.iter().map(Entry::links).collect();
        system.start_agent().await;
        system
    }
}

impl System {
    async fn start_entries(&mut self) {
        for (n, links) in self.links.clone().into_iter().enumerate() {
            let any_port = "127.0.0.1:0";
            let text = format!(
                "[entry]\nname = entry-{n}\nzone = a\ngrace = 0s\n\
                 callers = {any_port}\noperators = {any_port}\nlinks = {links}\n\
                 {LINK_SETTINGS}[ownership]\n{}",
                self.ownership
            );
            let config = EntryConfig::parse(text.as_bytes()).unwrap();
            let entry = Entry::start(config, self.store.clone()).await.unwrap();
            self.entries.push(entry);
        }
    }

    async fn start_agent(&mut self) {
        let links: Vec<_> = self.links.iter().map(ToString::to_string).collect();
        let text = format!(
            "[agent]\nname = worker-0\nzone = a\nrack = a1\nentries = {}\n\
             [endpoint]\nteam = demo\nservice = echo\naddress = 127.0.0.1:9\n\
             [worker]\ncpu = 1000\nmemory = 1GB\nmargin = 2s\n{LINK_SETTINGS}",
            links.join(",")
        );
        let config = AgentConfig::parse(text.as_bytes()).unwrap();
        let agent = Agent::start_with_worker(config, self.worker.clone()).await;
        self.agent = Some(agent.unwrap());
    }

    pub(crate) async fn restart_agent(&mut self) {
        self.agent.take().unwrap().close().await;
        self.start_agent().await;
    }

    /// Closes all entries, deletes `key` from the store and starts new entries.
    pub(crate) async fn restart_entries_without(&mut self, key: &str) {
        let closing = self.entries.drain(..).map(Entry::close);
        futures::future::join_all(closing).await;
        let key = key.to_owned();
        let commit = Commit {
            compares: Vec::new(),
            writes: vec![Write::Delete { key }],
        };
        self.store.commit(commit).await.unwrap();
        self.start_entries().await;
    }

    /// Closes all entries at once and starts new ones with the same link addresses.
    pub(crate) async fn restart_entries(&mut self) {
        let closing = self.entries.drain(..).map(Entry::close);
        futures::future::join_all(closing).await;
        self.start_entries().await;
    }

    pub(crate) async fn close(mut self) {
        for entry in self.entries.drain(..) {
            entry.close().await;
        }
        self.agent.take().unwrap().close().await;
    }

    pub(crate) async fn declare(&self, team: &str, task: &str, text: &str) {
        let status = self.put(team, task, text).await;
        assert_eq!(status, StatusCode::OK);
    }

    pub(crate) async fn put(&self, team: &str, task: &str, text: &str) -> StatusCode {
        let path = format!("/v1/settings/{team}/batch/{task}");
        self.call(0, Method::PUT, &path, text).await.0
    }

    pub(crate) async fn delete(&self, team: &str, task: &str) {
        let path = format!("/v1/settings/{team}/batch/{task}");
        let (status, body) = self.call(0, Method::DELETE, &path, "").await;
        assert!(status.is_success(), "{status} {body}");
    }

    /// Waits until an entry reports `state` for the team's task `count`.
    pub(crate) async fn until_state(&self, team: &str, state: &str) -> Value {
        let path = format!("/v1/tasks/{team}/count");
        let mut last = Vec::new();
        for _ in 0..MAX_POLLS {
            last.clear();
            for entry in 0..self.entries.len() {
                let (_, body) = self.call(entry, Method::GET, &path, "").await;
                let view: Value = serde_json::from_str(&body).unwrap_or_default();
                if view["state"] == state {
                    return view;
                }
                last.push(body);
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        panic!("{path} did not reach state {state:?}: {last:?}");
    }

    /// Waits until every entry owns a shard.
    pub(crate) async fn until_all_own_shards(&self) {
        for _ in 0..MAX_POLLS {
            let mut owning = 0;
            for entry in 0..self.entries.len() {
                let (_, body) = self.call(entry, Method::GET, "/metrics", "").await;
                let lines = body.lines().filter_map(|line| {
                    let count = line.strip_prefix("parsleytally_entry_shards ")?;
                    count.parse::<u64>().ok()
                });
                owning += usize::from(lines.sum::<u64>() > 0);
            }
            if owning == self.entries.len() {
                return;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        panic!("not every entry owned a shard at the same time");
    }

    /// Waits until `condition` holds.
    pub(crate) async fn until(&self, condition: impl Fn(&Self) -> bool) {
        for _ in 0..MAX_POLLS {
            if condition(self) {
                return;
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        panic!("the expected condition was not reached");
    }

    async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &str,
    ) -> (StatusCode, String) {
        let uri = format!("http://{}{path}", self.entries[entry].operators());
        let body = Body::from(body.to_owned());
        let call = self.client.request(method, uri).body(body);
        let response: Response = call.send().await.unwrap();
        let (parts, body) = response.into_parts();
        let body = read_body(body, 4 << 20).await.unwrap();
        (parts.status, String::from_utf8(body.to_vec()).unwrap())
    }
}
