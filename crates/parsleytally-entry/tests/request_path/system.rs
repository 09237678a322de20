//! Entries, agents and an endpoint in one process, connected over loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, StatusCode};
use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_entry::Entry;
use parsleytally_entry::config::EntryConfig;
use parsleytally_platform::process::http::{HttpServer, read_body};
use parsleytally_platform::stand_in::SampleEndpoint;
use parsleytally_platform::store::MemoryStore;
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

use crate::broken::serve_broken_answers;
use crate::relay::Relay;

/// Polls of an expected state before a test fails.
const MAX_POLLS: usize = 1_000;
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Settings of links.
const LINK: &str = "\
[link]\nkey = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";

pub(crate) struct System {
    pub(crate) entries: Vec<Entry>,
    pub(crate) agents: Vec<Agent>,
    /// Relay of each agent's links if [`Builder::relays`] is set, else empty.
    pub(crate) relays: Vec<Relay>,
    pub(crate) sample: Arc<SampleEndpoint>,
    _endpoint: Option<HttpServer>,
    /// Socket that holds the port of an endpoint that is down, so that no server gets it.
    _reserved: Option<TcpSocket>,
    client: Client,
}

pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

impl Reply {
    /// Status code and `parsleytally-outcome` header, empty if absent.
    pub(crate) fn status_and_outcome(&self) -> (u16, &str) {
        let outcome = self.headers.get("parsleytally-outcome");
        let outcome = outcome.map_or("", |value| value.to_str().unwrap());
        (self.status.as_u16(), outcome)
    }
}

pub(crate) struct Builder {
    pub(crate) entries: usize,
    pub(crate) agents: usize,
    pub(crate) endpoint: Endpoint,
    /// Additional lines of the agents' section `[endpoint]`.
    pub(crate) limits: &'static str,
    /// Whether each agent connects to the first entry only, through a relay.
    pub(crate) relays: bool,
}

pub(crate) enum Endpoint {
    Sample,
    /// Closes early or sends truncated bodies or garbage, depending on the path.
    Broken,
    /// Nothing listens at the address.
    Down,
}

impl Default for Builder {
    fn default() -> Self {
        Self {
            entries: 1,
            agents: 1,
            endpoint: Endpoint::Sample,
            limits: "",
            relays: false,
        }
    }
}

impl Builder {
    pub(crate) async fn start(self) -> System {
        let store = Arc::new(MemoryStore::new());
        let mut entries = Vec::new();
        for n in 0..self.entries {
            let any = "127.0.0.1:0";
            let text = format!(
                "[entry]\nname = entry-{n}\nzone = a\ngrace = 0s\n\
                 callers = {any}\noperators = {any}\nlinks = {any}\n{LINK}"
            );
            let config = EntryConfig::parse(text.as_bytes()).unwrap();
            entries.push(Entry::start(config, store.clone()).await.unwrap());
        }
        let sample = Arc::new(SampleEndpoint::default());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let mut reserved = None;
        let (address, endpoint) = match self.endpoint {
            Endpoint::Sample => {
                let server = HttpServer::start(any, sample.clone()).await.unwrap();
                (server.address(), Some(server))
            }
            Endpoint::Broken => {
                let listener = TcpListener::bind(any).await.unwrap();
                let address = listener.local_addr().unwrap();
                tokio::spawn(serve_broken_answers(listener));
                (address, None)
            }
            Endpoint::Down => {
                // Bound but not listening: connections are refused.
                let socket = TcpSocket::new_v4().unwrap();
                socket.bind(any).unwrap();
                let address = socket.local_addr().unwrap();
                reserved = Some(socket);
                (address, None)
            }
        };
        let links: Vec<_> = entries.iter().map(|e| e.links().to_string()).collect();
        let mut agents = Vec::new();
        let mut relays = Vec::new();
        for n in 0..self.agents {
            let mut links = links.join(",");
            if self.relays {
                let relay = Relay::start(entries[0].links()).await;
                links = relay.address().to_string();
                relays.push(relay);
            }
            let text = agent_text(n, &links, address, self.limits);
            let config = AgentConfig::parse(text.as_bytes()).unwrap();
            agents.push(Agent::start(config).await.unwrap());
        }
        let system = System {
            entries,
            agents,
            relays,
            sample,
            _endpoint: endpoint,
            _reserved: reserved,
            client: Client::builder().build().unwrap(),
        };
        system.wait_for_workers(self.agents).await;
        system
    }
}

fn agent_text(n: usize, entries: &str, endpoint: SocketAddr, limits: &str) -> String {
    format!(
        "[agent]\nname = worker-{n}\nzone = a\nrack = a1\nentries = {entries}\n\
         [worker]\ncpu = 16000\nmemory = 60GB\n\
         [endpoint]\nteam = demo\nservice = echo\naddress = {endpoint}\n{limits}{LINK}"
    )
}

impl System {
    /// Waits until every entry lists `count` ready workers.
    pub(crate) async fn wait_for_workers(&self, count: usize) {
        for entry in &self.entries {
            let uri = format!("http://{}/v1/workers", entry.operators());
            for polls in 0.. {
                assert!(
                    polls < MAX_POLLS,
                    "number of ready workers did not become {count}"
                );
                let reply = self.send(Method::GET, uri.clone(), "", &[]).await;
                let workers: Value = serde_json::from_str(&reply.body).unwrap_or_default();
                let ready = |worker: &&Value| worker["state"] == "ready";
                let list = workers.as_array();
                if list.is_some_and(|list| list.iter().filter(ready).count() == count) {
                    break;
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
    }

    /// Sends a caller's request through entry number `entry`.
    pub(crate) async fn call(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: &str,
    ) -> Reply {
        let uri = format!("http://{}{path}", self.entries[entry].callers());
        self.send(method, uri, body, headers).await
    }

    /// Value of an agent's metric.
    pub(crate) async fn metric(&self, agent: usize, name: &str) -> u64 {
        let uri = format!("http://{}/metrics", self.agents[agent].operators());
        let reply = self.send(Method::GET, uri, "", &[]).await;
        let line = reply.body.lines().find_map(|line| line.strip_prefix(name));
        line.map_or(0, |value| value.trim().parse().unwrap())
    }

    /// Waits until an agent's metric has the value.
    pub(crate) async fn wait_for_metric(&self, agent: usize, name: &str, value: u64) {
        for _ in 0..MAX_POLLS {
            if self.metric(agent, name).await == value {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{name} did not become {value}");
    }

    async fn send(
        &self,
        method: Method,
        uri: String,
        body: &str,
        headers: &[(&'static str, &str)],
    ) -> Reply {
        let body = Body::from(body.to_owned());
        let mut call = self.client.request(method, uri).body(body);
        for (name, value) in headers {
            call = call.header(*name, *value);
        }
        let response: Response = call.send().await.unwrap();
        let (parts, body) = response.into_parts();
        let body = read_body(body, 4 << 20).await.unwrap();
        Reply {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8(body.to_vec()).unwrap(),
        }
    }
}
