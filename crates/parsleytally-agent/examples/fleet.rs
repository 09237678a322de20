//! Runs many agents in one process to measure the cost of agents at an entry.
//!
//! `fleet --entries ADDR,… --agents N --seconds S --observe PID` starts the agents, waits
//! for them to connect, and prints the CPU use during the measurement and the resident
//! memory after it, of the observed entry and of this process. It reads `/proc`, so it
//! runs only on Linux.

use std::process::ExitCode;
use std::time::Duration;

use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;

/// Time for the agents to connect before the measurement begins.
const CONNECT_PAUSE: Duration = Duration::from_secs(5);
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4_096;
/// Shared key of the links; the observed entry must use the same.
const LINK_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
/// Agents that share a service.
const AGENTS_PER_SERVICE: usize = 11;

/// Resources that a process has used.
struct Usage {
    cpu_time: Duration,
    resident_bytes: u64,
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
        cpu_time: Duration::from_nanos(nanos),
        resident_bytes: pages * PAGE_BYTES,
    })
}

fn config_text(n: usize, entries: &str) -> String {
    let service = n / AGENTS_PER_SERVICE;
    format!(
        "[agent]\nname = worker-{n}\nzone = a\nrack = r{}\nentries = {entries}\n\
         [endpoint]\nteam = demo\nservice = s{service}\naddress = 127.0.0.1:9\n\
         [worker]\ncpu = 16000\nmemory = 60GB\n[link]\nkey = {LINK_KEY}\n",
        n / 3
    )
}

fn report(process: &str, before: &Usage, after: &Usage, duration: Duration) {
    let used = after.cpu_time.saturating_sub(before.cpu_time);
    let share = 100.0 * used.as_secs_f64() / duration.as_secs_f64();
    println!(
        "{process}: {share:.2}% of a core, {} KiB resident",
        after.resident_bytes / 1024
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
        eprintln!("--agents and --seconds must be whole numbers");
        return ExitCode::from(2);
    };
    let observed = matches
        .opt_str("observe")
        .unwrap_or_else(|| "self".to_owned());
    run(&entries, agents, Duration::from_secs(seconds), &observed).await
}

async fn run(entries: &str, agents: usize, duration: Duration, observed: &str) -> ExitCode {
    let mut running = Vec::new();
    for n in 0..agents {
        let config = match AgentConfig::parse(config_text(n, entries).as_bytes()) {
            Ok(config) => config,
            Err(error) => return failed(&error),
        };
        match Agent::start(config).await {
            Ok(agent) => running.push(agent),
            Err(error) => return failed(&error),
        }
    }
    tokio::time::sleep(CONNECT_PAUSE).await;
    let (Some(entry), Some(fleet)) = (usage(observed), usage("self")) else {
        return failed(&format!(
            "could not read the usage of process {observed} from /proc"
        ));
    };
    tokio::time::sleep(duration).await;
    let (Some(entry_end), Some(fleet_end)) = (usage(observed), usage("self")) else {
        return failed(&format!("process {observed} has ended"));
    };
    println!("{agents} agents, {} s", duration.as_secs());
    report("observed process", &entry, &entry_end, duration);
    report("all agents", &fleet, &fleet_end, duration);
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
