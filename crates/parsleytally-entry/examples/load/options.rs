//! Command line of the load tool.

use std::net::SocketAddr;
use std::time::Duration;

use getopts::{Matches, Options as Parser};

/// Most requests of one run.
const MAX_REQUESTS: u64 = 5_000_000;

/// What a run does.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Callers' addresses of entries; none starts a system in this process.
    pub(crate) callers: Vec<SocketAddr>,
    /// Addresses of the sample endpoints behind them.
    pub(crate) endpoints: Vec<SocketAddr>,
    /// Entries of a system in this process.
    pub(crate) entries: usize,
    /// Agents of a system in this process, each with its endpoint.
    pub(crate) agents: usize,
    /// Faults of a system in this process, with the time of each.
    pub(crate) faults: Vec<(Fault, Duration)>,
    /// Requests a second.
    pub(crate) rate: f64,
    /// Requests in all.
    pub(crate) requests: u64,
    /// Share of requests that are bookings.
    pub(crate) bookings: f64,
    /// Share of bookings that carry a key and are sent twice.
    pub(crate) repeats: f64,
    /// Share of reads that go to an endpoint directly.
    pub(crate) direct: f64,
    /// Bytes of a request's body.
    pub(crate) body: usize,
    /// Time that an endpoint takes for a read, in milliseconds.
    pub(crate) service: u64,
    /// How long callers wait.
    pub(crate) deadline: Duration,
    /// How long a system in this process remembers idempotency keys, in seconds.
    pub(crate) ttl: u64,
    /// Seed of arrivals and mix.
    pub(crate) seed: u64,
    /// Prints JSON as well.
    pub(crate) json: bool,
}

/// A fault that is switched in while the load runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// An agent ends at once.
    Kill,
    /// An agent leaves and drains.
    Leave,
    /// A new agent starts in the place of the last one that ended.
    Restart,
    /// Every open link goes silent for good; new ones work.
    Silence,
    /// The first endpoint takes longer for each answer.
    Slow,
    /// The first endpoint is fast again.
    Fast,
}

impl Options {
    /// Parses the arguments; the error is the text to show.
    pub(crate) fn parse(arguments: &[String]) -> Result<Self, String> {
        let parser = parser();
        let usage = |reason: String| format!("{reason}\n{}", parser.usage("load [options]"));
        let matches = parser
            .parse(arguments)
            .map_err(|error| usage(error.to_string()))?;
        if matches.opt_present("help") {
            return Err(parser.usage("load [options]"));
        }
        Self::read(&matches).map_err(usage)
    }

    fn read(matches: &Matches) -> Result<Self, String> {
        let options = Self {
            callers: addresses(matches, "callers")?,
            endpoints: addresses(matches, "endpoints")?,
            entries: value(matches, "entries", 1)?,
            agents: value(matches, "agents", 1)?,
            faults: faults(matches)?,
            rate: value(matches, "rate", 1_000.0)?,
            requests: value(matches, "requests", 10_000)?,
            bookings: value(matches, "bookings", 0.2)?,
            repeats: value(matches, "repeats", 0.5)?,
            direct: value(matches, "direct", 0.0)?,
            body: value(matches, "body", 100)?,
            service: value(matches, "service", 0)?,
            deadline: value(matches, "deadline", 2_000).map(Duration::from_millis)?,
            ttl: value(matches, "ttl", 2)?,
            seed: value(matches, "seed", 1)?,
            json: matches.opt_present("json"),
        };
        options.check()
    }

    fn check(self) -> Result<Self, String> {
        let shares = [self.bookings, self.repeats, self.direct];
        if !shares.iter().all(|share| (0.0..=1.0).contains(share)) {
            return Err("a share must lie between 0 and 1".to_owned());
        }
        if self.rate <= 0.0 || self.requests > MAX_REQUESTS {
            return Err(format!(
                "rate must be positive and requests at most {MAX_REQUESTS}"
            ));
        }
        if self.callers.is_empty() != self.endpoints.is_empty() {
            return Err("callers and endpoints go together".to_owned());
        }
        if !self.callers.is_empty() && !self.faults.is_empty() {
            return Err("faults need a system in this process".to_owned());
        }
        if self.entries == 0 || self.agents == 0 {
            return Err("at least one entry and one agent are needed".to_owned());
        }
        Ok(self)
    }
}

fn parser() -> Parser {
    let mut parser = Parser::new();
    let mut option = |name, text, hint| {
        parser.optopt("", name, text, hint);
    };
    option("callers", "callers' addresses of running entries", "A,B");
    option("endpoints", "addresses of their sample endpoints", "A,B");
    option("entries", "entries to start in this process (1)", "N");
    option("agents", "agents to start in this process (1)", "N");
    option(
        "faults",
        "kill, leave, restart, silence, slow, fast at a second",
        "kill@5,restart@8",
    );
    option("rate", "requests a second (1000)", "R");
    option("requests", "requests in all (10000)", "N");
    option("bookings", "share of bookings (0.2)", "SHARE");
    option(
        "repeats",
        "share of bookings sent twice under a key (0.5)",
        "SHARE",
    );
    option(
        "direct",
        "share of reads sent to an endpoint directly (0)",
        "SHARE",
    );
    option("body", "bytes of a body (100)", "BYTES");
    option("service", "service time of a read in ms (0)", "MS");
    option("deadline", "how long callers wait, in ms (2000)", "MS");
    option(
        "ttl",
        "seconds that keys are remembered in this process (2)",
        "S",
    );
    option("seed", "seed of arrivals and mix (1)", "N");
    parser.optflag("", "json", "print JSON as well");
    parser.optflag("", "help", "show this text");
    parser
}

fn value<T: std::str::FromStr>(matches: &Matches, name: &str, default: T) -> Result<T, String> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(default);
    };
    text.parse()
        .map_err(|_| format!("value {text:?} of --{name} is not a number"))
}

fn addresses(matches: &Matches, name: &str) -> Result<Vec<SocketAddr>, String> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(Vec::new());
    };
    let parse = |part: &str| {
        part.parse()
            .map_err(|_| format!("{part:?} in --{name} is not an address and port"))
    };
    text.split(',').map(parse).collect()
}

fn faults(matches: &Matches) -> Result<Vec<(Fault, Duration)>, String> {
    let Some(text) = matches.opt_str("faults") else {
        return Ok(Vec::new());
    };
    text.split(',').map(fault).collect()
}

fn fault(text: &str) -> Result<(Fault, Duration), String> {
    let unknown = || format!("{text:?} is not a fault such as kill@5");
    let (name, second) = text.split_once('@').ok_or_else(unknown)?;
    let fault = match name {
        "kill" => Fault::Kill,
        "leave" => Fault::Leave,
        "restart" => Fault::Restart,
        "silence" => Fault::Silence,
        "slow" => Fault::Slow,
        "fast" => Fault::Fast,
        _ => return Err(unknown()),
    };
    let second = second.parse().map_err(|_| unknown())?;
    Ok((fault, Duration::from_secs(second)))
}
