//! Entries, agents and sample endpoints in this process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_entry::Entry;
use parsleytally_entry::config::EntryConfig;
use parsleytally_platform::process::http::{Answering, Handler, HttpServer};
use parsleytally_platform::stand_in::SampleEndpoint;
use parsleytally_platform::store::MemoryStore;
use volo_http::request::Request;

use crate::options::{Fault, Options};
use crate::relay::Relay;

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// What a slow endpoint adds to each answer.
const SLOW: Duration = Duration::from_millis(100);
/// Settings of links, for this process only.
const LINK: &str = "\
[link]\nkey = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
/// Time for the agents' announcements.
const SETTLE: Duration = Duration::from_secs(1);

/// A running system.
pub(crate) struct System {
    entries: Vec<Entry>,
    /// One before the links of each entry.
    relays: Vec<Relay>,
    agents: Vec<Option<Agent>>,
    endpoints: Vec<HttpServer>,
    /// Whether the first endpoint is slow.
    slow: Arc<AtomicBool>,
    ttl: u64,
}

impl System {
    pub(crate) async fn start(options: &Options) -> Result<Self, Failure> {
        let store = Arc::new(MemoryStore::new());
        let mut system = Self {
            entries: Vec::new(),
            relays: Vec::new(),
            slow: Arc::default(),
            agents: Vec::new(),
            endpoints: Vec::new(),
            ttl: options.ttl,
        };
        for n in 0..options.entries {
            let config = EntryConfig::parse(entry_text(n, options.ttl).as_bytes())?;
            let entry = Entry::start(config, store.clone()).await?;
            system.relays.push(Relay::start(entry.links()).await?);
            system.entries.push(entry);
        }
        for n in 0..options.agents {
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            let endpoint = HttpServer::start(any, system.endpoint(n)).await?;
            system.endpoints.push(endpoint);
            let agent = system.start_agent(n).await?;
            system.agents.push(Some(agent));
        }
        tokio::time::sleep(SETTLE).await;
        Ok(system)
    }

    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(Entry::callers).collect()
    }

    pub(crate) fn endpoints(&self) -> Vec<SocketAddr> {
        self.endpoints.iter().map(HttpServer::address).collect()
    }

    /// Switches `fault` in.
    pub(crate) async fn cause(&mut self, fault: Fault) -> Result<(), Failure> {
        match fault {
            Fault::Kill => drop(self.take_agent()),
            Fault::Leave => {
                if let Some(agent) = self.take_agent() {
                    tokio::spawn(agent.close());
                }
            }
            Fault::Silence => self.relays.iter().for_each(Relay::silence),
            Fault::Slow => self.slow.store(true, Ordering::SeqCst),
            Fault::Fast => self.slow.store(false, Ordering::SeqCst),
            Fault::Restart => {
                let ended = self.agents.iter().rposition(Option::is_none);
                if let Some(n) = ended {
                    self.agents[n] = Some(self.start_agent(n).await?);
                }
            }
        }
        Ok(())
    }

    /// Endpoint number `n`; only the first one can be slow.
    fn endpoint(&self, n: usize) -> Arc<dyn Handler> {
        let sample = SampleEndpoint::default();
        match n {
            0 => Arc::new(SlowEndpoint {
                sample,
                slow: self.slow.clone(),
            }),
            _ => Arc::new(sample),
        }
    }

    fn take_agent(&mut self) -> Option<Agent> {
        self.agents.iter_mut().find_map(Option::take)
    }

    async fn start_agent(&self, n: usize) -> Result<Agent, Failure> {
        let links: Vec<_> = self
            .relays
            .iter()
            .map(|r| r.address().to_string())
            .collect();
        let endpoint = self.endpoints[n].address();
        let text = agent_text(n, &links.join(","), endpoint, self.ttl);
        let config = AgentConfig::parse(text.as_bytes())?;
        Ok(Agent::start(config).await?)
    }
}

/// A sample endpoint that can be made slow.
struct SlowEndpoint {
    sample: SampleEndpoint,
    slow: Arc<AtomicBool>,
}

impl Handler for SlowEndpoint {
    fn answer(&self, request: Request) -> Answering<'_> {
        Box::pin(async move {
            if self.slow.load(Ordering::SeqCst) {
                tokio::time::sleep(SLOW).await;
            }
            self.sample.answer(request).await
        })
    }
}

fn entry_text(n: usize, ttl: u64) -> String {
    format!(
        "[entry]\nname = entry-{n}\nzone = a\ncallers = 127.0.0.1:0\n\
         operators = 127.0.0.1:0\nlinks = 127.0.0.1:0\n\
         [once]\nttl = {ttl}s\n{LINK}"
    )
}

fn agent_text(n: usize, entries: &str, endpoint: SocketAddr, ttl: u64) -> String {
    format!(
        "[agent]\nname = worker-{n}\nzone = a\nrack = a1\nentries = {entries}\n\
         [worker]\ncpu = 16000\nmemory = 60GB\n\
         [endpoint]\nteam = demo\nservice = echo\naddress = {endpoint}\n\
         [once]\nttl = {ttl}s\n{LINK}"
    )
}
