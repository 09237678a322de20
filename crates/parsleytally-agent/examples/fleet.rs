//! Many agents in one process, to measure what an entry spends on each.
//!
//! `fleet --entries ADDR,… --agents N --seconds S --observe PID` starts the agents,
//! waits until they have settled, and prints the processor time and memory of the
//! observed entry and of this process over the time given. It reads `/proc`, so it
//! runs on Linux.

use std::process::ExitCode;
use std::time::Duration;

use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;

/// Time in which the agents connect before the measurement begins.
const SETTLE: Duration = Duration::from_secs(5);
/// Bytes in a page of memory.
const PAGE_BYTES: u64 = 4_096;
/// Key of the links; the observed entry has the same.
const KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Agents that share a service.
const AGENTS_PER_SERVICE: usize = 11;

struct Usage {
    processor: Duration,
    resident: u64,
}

fn usage(pid: &str) -> Option<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = stat.split_whitespace().nth(1)?.parse().ok()?;
    let mut nanos = 0;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task")).ok()? {
        let path = thread.ok()?.path().join("schedstat");
        let stat = std::fs::read_to_string(path).ok()?;
        nanos += stat.split_whitespace().next()?.parse::<u64>().ok()?;
    }
    Some(Usage {
        processor: Duration::from_nanos(nanos),
        resident: pages * PAGE_BYTES,
    })
}

fn settings(n: usize, entries: &str) -> String {
    let service = n / AGENTS_PER_SERVICE;
    format!(
        "[agent]\nname = worker-{n}\nzone = a\nrack = r{}\nentries = {entries}\n\
         [endpoint]\nteam = demo\nservice = s{service}\naddress = 127.0.0.1:9\n\
         [worker]\ncpu = 16000\nmemory = 60GB\n[link]\nkey = {KEY}\n",
        n / 3
    )
}

fn report(what: &str, before: &Usage, after: &Usage, span: Duration) {
    let used = after.processor.saturating_sub(before.processor);
    let share = 100.0 * used.as_secs_f64() / span.as_secs_f64();
    println!(
        "{what}: {share:.2}% of a core, {} KiB resident",
        after.resident / 1024
    );
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut options = getopts::Options::new();
    options.optopt("", "entries", "link addresses of the entries", "ADDR,…");
    options.optopt("", "agents", "agents to start (10)", "N");
    options.optopt("", "seconds", "time to measure (20)", "S");
    options.optopt("", "observe", "process id of an entry", "PID");
    let matches = match options.parse(std::env::args().skip(1)) {
        Ok(matches) if matches.opt_present("entries") => matches,
        _ => {
            eprintln!("{}", options.usage("fleet --entries ADDR,… [options]"));
            return ExitCode::from(2);
        }
    };
    let entries = matches.opt_str("entries").unwrap_or_default();
    let agents = matches.opt_get_default("agents", 10_usize);
    let seconds = matches.opt_get_default("seconds", 20_u64);
    let (Ok(agents), Ok(seconds)) = (agents, seconds) else {
        eprintln!("agents and seconds are whole numbers");
        return ExitCode::from(2);
    };
    let observed = matches
        .opt_str("observe")
        .unwrap_or_else(|| "self".to_owned());
    run(&entries, agents, Duration::from_secs(seconds), &observed).await
}

async fn run(entries: &str, agents: usize, span: Duration, observed: &str) -> ExitCode {
    let mut running = Vec::new();
    for n in 0..agents {
        let config = match AgentConfig::parse(settings(n, entries).as_bytes()) {
            Ok(config) => config,
            Err(error) => return failed(&error),
        };
        match Agent::start(config).await {
            Ok(agent) => running.push(agent),
            Err(error) => return failed(&error),
        }
    }
    tokio::time::sleep(SETTLE).await;
    let (Some(entry), Some(fleet)) = (usage(observed), usage("self")) else {
        return failed(&format!("process {observed} is not to be observed"));
    };
    tokio::time::sleep(span).await;
    let (Some(entry_end), Some(fleet_end)) = (usage(observed), usage("self")) else {
        return failed(&format!("process {observed} has ended"));
    };
    println!("{agents} agents, {} s", span.as_secs());
    report("observed process", &entry, &entry_end, span);
    report("all agents", &fleet, &fleet_end, span);
    let closing = running.into_iter().map(|agent| tokio::spawn(agent.close()));
    for close in closing.collect::<Vec<_>>() {
        let _ = close.await;
    }
    ExitCode::SUCCESS
}

fn failed(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("{error}");
    ExitCode::FAILURE
}
