//! Time from an accepted change to its being in force at all entries and agents,
//! and calls to the store by number of agents, over loopback in one process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use getopts::Options;
use hdrhistogram::Histogram;
use parsleytally::types::Revision;
use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_entry::Entry;
use parsleytally_entry::config::EntryConfig;
use parsleytally_platform::store::{Commit, MemoryStore, Outcome, Store, Write};

type Failure = Box<dyn std::error::Error + Send + Sync>;

const LINK: &str = "\
[link]\nkey = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
const ENTRIES: usize = 3;
const AGENTS: [usize; 3] = [1, 11, 100];
const POLL: Duration = Duration::from_micros(200);
const LIMIT: Duration = Duration::from_secs(60);

struct System {
    store: MemoryStore,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    changes: u32,
}

impl System {
    async fn start(agents: usize) -> Result<Self, Failure> {
        let store = MemoryStore::new();
        let mut entries = Vec::new();
        for n in 0..ENTRIES {
            let any = "127.0.0.1:0";
            let text = format!(
                "[entry]\nname = entry-{n}\nzone = a\ngrace = 0s\n\
                 callers = {any}\noperators = {any}\nlinks = {any}\n{LINK}"
            );
            let config = EntryConfig::parse(text.as_bytes())?;
            entries.push(Entry::start(config, Arc::new(store.clone())).await?);
        }
        let links: Vec<_> = entries.iter().map(|e| e.links().to_string()).collect();
        let mut started = Vec::new();
        for n in 0..agents {
            started.push(start_agent(n, &links.join(",")).await?);
        }
        let mut system = Self {
            store,
            entries,
            agents: started,
            changes: 0,
        };
        system.change_and_wait().await?;
        Ok(system)
    }

    async fn change(&mut self) -> Result<Revision, Failure> {
        self.changes += 1;
        let timeout = 1_000 + self.changes;
        let commit = Commit {
            compares: Vec::new(),
            writes: vec![Write::Put {
                key: "/parsleytally/teams/demo/services/echo".to_owned(),
                value: format!("[service]\ntimeout = {timeout}ms\n").into_bytes(),
                lease: None,
            }],
        };
        match self.store.commit(commit).await? {
            Outcome::Committed(revision) => Ok(revision),
            Outcome::Conflict(revision) => Err(format!("conflict at {revision}").into()),
        }
    }

    /// Waits until `revision` is in force everywhere.
    async fn wait(&self, revision: Revision) -> Result<(), Failure> {
        let start = Instant::now();
        while start.elapsed() < LIMIT {
            let entries = self.entries.iter().map(Entry::settings_revision);
            let agents = self.agents.iter().map(Agent::settings_revision);
            if entries.chain(agents).all(|held| held >= revision) {
                return Ok(());
            }
            tokio::time::sleep(POLL).await;
        }
        Err("change did not come into force".into())
    }

    async fn change_and_wait(&mut self) -> Result<Duration, Failure> {
        let revision = self.change().await?;
        let accepted = Instant::now();
        self.wait(revision).await?;
        Ok(accepted.elapsed())
    }

    async fn close(self) {
        for agent in self.agents {
            tokio::spawn(agent.close());
        }
        for entry in self.entries {
            entry.close().await;
        }
    }
}

async fn start_agent(n: usize, links: &str) -> Result<Agent, Failure> {
    let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
    let text = format!(
        "[agent]\nname = worker-{n}\nzone = a\nrack = a1\nentries = {links}\n\
         operators = 127.0.0.1:0\n[worker]\ncpu = 16000\nmemory = 60GB\n\
         [endpoint]\nteam = demo\nservice = echo\naddress = {endpoint}\n{LINK}"
    );
    Ok(Agent::start(AgentConfig::parse(text.as_bytes())?).await?)
}

fn ms(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

async fn latency(system: &mut System, changes: u32) -> Result<Histogram<u64>, Failure> {
    let mut times = Histogram::new(3)?;
    for _ in 0..changes {
        let time = system.change_and_wait().await?;
        times.record(u64::try_from(time.as_micros())?)?;
    }
    Ok(times)
}

/// Time from the end of an outage to a change made right after it being in force.
async fn after_outage(system: &mut System, outage: Duration) -> Result<Duration, Failure> {
    system.store.set_down(true);
    tokio::time::sleep(outage).await;
    system.store.set_down(false);
    system.change_and_wait().await
}

#[tokio::main]
async fn main() -> Result<(), Failure> {
    let mut options = Options::new();
    options.optopt(
        "",
        "changes",
        "changes for each number of agents (300)",
        "N",
    );
    options.optopt("", "quiet", "seconds without changes (30)", "S");
    options.optopt("", "outage", "seconds of the store's outage (20)", "S");
    let matches = options.parse(std::env::args().skip(1))?;
    let changes = matches.opt_get_default("changes", 300)?;
    let quiet = Duration::from_secs(matches.opt_get_default("quiet", 30)?);
    let outage = Duration::from_secs(matches.opt_get_default("outage", 20)?);
    println!("| agents | p50 ms | p99 ms | max ms | after outage ms | store calls/s | watches |");
    println!("|---|---|---|---|---|---|---|");
    for agents in AGENTS {
        let mut system = System::start(agents).await?;
        let times = latency(&mut system, changes).await?;
        let before = system.store.metrics().total();
        tokio::time::sleep(quiet).await;
        let calls = system.store.metrics().total() - before;
        let watches = system.store.metrics().watches();
        let after = after_outage(&mut system, outage).await?;
        println!(
            "| {agents} | {:.2} | {:.2} | {:.2} | {} | {:.2} | {watches} |",
            ms(times.value_at_quantile(0.5)),
            ms(times.value_at_quantile(0.99)),
            ms(times.max()),
            after.as_millis(),
            calls as f64 / quiet.as_secs_f64(),
        );
        system.close().await;
    }
    Ok(())
}
