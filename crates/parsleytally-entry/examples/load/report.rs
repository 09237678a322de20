//! Counts, histograms and promises of a run.

use std::collections::HashMap;
use std::net::SocketAddr;

use futures::future::join_all;
use futures::stream::{self, StreamExt};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::caller::{Caller, Kind, Outcome};
use crate::traffic::{Ended, Paced};

/// Bookings that are checked at the same time.
const CHECKS_AT_ONCE: usize = 64;
/// Longest latency that a histogram tells apart, in microseconds.
const MAX_LATENCY: u64 = 120_000_000;

/// Latencies of one kind of request, in microseconds.
struct Latency {
    name: &'static str,
    micros: Histogram<u64>,
}

impl Latency {
    fn new(name: &'static str) -> Self {
        let micros = Histogram::new_with_max(MAX_LATENCY, 3).expect("three digits are valid");
        Self { name, micros }
    }

    fn at(&self, quantile: f64) -> u64 {
        self.micros.value_at_quantile(quantile)
    }
}

/// Bookings of one token, as its callers were told.
#[derive(Default)]
struct Booking {
    answered: u64,
    unknown: u64,
    not_run: u64,
}

/// Everything that a run has shown.
pub(crate) struct Report {
    direct: Latency,
    reads: Latency,
    bookings: Latency,
    outcomes: HashMap<&'static str, u64>,
    booked: HashMap<String, Booking>,
    doubled: u64,
    false_not_run: u64,
    lost: u64,
    unchecked: u64,
}

impl Report {
    pub(crate) fn new() -> Self {
        Self {
            direct: Latency::new("direct reads"),
            reads: Latency::new("reads"),
            bookings: Latency::new("bookings"),
            outcomes: HashMap::new(),
            booked: HashMap::new(),
            doubled: 0,
            false_not_run: 0,
            lost: 0,
            unchecked: 0,
        }
    }

    /// Takes a request that has ended.
    pub(crate) fn add(&mut self, ended: Ended) {
        *self.outcomes.entry(name(ended.outcome)).or_default() += 1;
        let is_booking = matches!(ended.call.kind, Kind::Book { .. });
        if is_booking {
            let booking = self.booked.entry(ended.call.token).or_default();
            match ended.outcome {
                Outcome::Answered => booking.answered += 1,
                Outcome::NotRun => booking.not_run += 1,
                _ => booking.unknown += 1,
            }
        }
        if ended.outcome != Outcome::Answered {
            return;
        }
        let latency = match (ended.call.direct, is_booking) {
            (true, _) => &mut self.direct,
            (false, true) => &mut self.bookings,
            (false, false) => &mut self.reads,
        };
        let micros = u64::try_from(ended.latency.as_micros()).unwrap_or(u64::MAX);
        latency.micros.saturating_record(micros);
    }

    /// Asks the endpoints what they have counted.
    pub(crate) async fn check(&mut self, caller: &Caller, endpoints: &[SocketAddr]) {
        let counts = self.booked.keys().map(|token| async move {
            let asked = endpoints.iter().map(|at| caller.booked(*at, token));
            (token, join_all(asked).await)
        });
        let counts: Vec<_> = stream::iter(counts)
            .buffer_unordered(CHECKS_AT_ONCE)
            .collect()
            .await;
        for (token, counts) in counts {
            let told = &self.booked[token];
            let whole = counts.iter().all(Option::is_some);
            let count: u64 = counts.into_iter().flatten().sum();
            self.unchecked += u64::from(!whole);
            self.doubled += u64::from(count > 1);
            let only_not_run = told.answered + told.unknown == 0;
            self.false_not_run += u64::from(only_not_run && told.not_run > 0 && count > 0);
            self.lost += u64::from(whole && told.answered > 0 && count == 0);
        }
    }

    /// Broken promises, by name.
    fn broken(&self) -> Vec<(&'static str, u64)> {
        let count = |name| self.outcomes.get(name).copied().unwrap_or_default();
        vec![
            ("crossed or cut answers", count("crossed")),
            ("requests without an answer", count("unanswered")),
            ("false \"not run\"", self.false_not_run),
            ("doubled bookings", self.doubled),
            ("lost bookings", self.lost),
            ("bookings that could not be checked", self.unchecked),
        ]
    }

    pub(crate) fn is_good(&self) -> bool {
        self.broken().iter().all(|(_, count)| *count == 0)
    }

    pub(crate) fn print(&self, paced: &Paced) {
        let sent: u64 = self.outcomes.values().sum();
        let rate = sent as f64 / paced.span.as_secs_f64();
        println!(
            "{sent} requests, {rate:.0} a second, {} not sent",
            paced.skipped
        );
        let mut outcomes: Vec<_> = self.outcomes.iter().collect();
        outcomes.sort();
        for (name, count) in outcomes {
            println!("  {name:<12} {count:>9}");
        }
        println!("latency in us    count       p50       p99     p99.9       max");
        for latency in [&self.direct, &self.reads, &self.bookings] {
            println!(
                "  {:<12} {:>7} {:>9} {:>9} {:>9} {:>9}",
                latency.name,
                latency.micros.len(),
                latency.at(0.5),
                latency.at(0.99),
                latency.at(0.999),
                latency.micros.max()
            );
        }
        self.print_added();
        for (name, count) in self.broken() {
            println!("  {name:<36} {count:>7}");
        }
    }

    fn print_added(&self) {
        if self.direct.micros.is_empty() || self.reads.micros.is_empty() {
            return;
        }
        for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
            let (direct, path) = (self.direct.at(quantile), self.reads.at(quantile));
            let ratio = path as f64 / direct.max(1) as f64;
            let added = path as i64 - direct as i64;
            println!("  added at {name:<6} {added:>7} us, ratio {ratio:.2}");
        }
    }

    pub(crate) fn json(&self, paced: &Paced) -> Value {
        let latency = |latency: &Latency| {
            json!({
                "count": latency.micros.len(),
                "p50_us": latency.at(0.5),
                "p99_us": latency.at(0.99),
                "p999_us": latency.at(0.999),
                "max_us": latency.micros.max(),
            })
        };
        let broken: HashMap<_, _> = self.broken().into_iter().collect();
        json!({
            "seconds": paced.span.as_secs_f64(),
            "not_sent": paced.skipped,
            "outcomes": self.outcomes,
            "direct": latency(&self.direct),
            "reads": latency(&self.reads),
            "bookings": latency(&self.bookings),
            "broken": broken,
        })
    }
}

fn name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Answered => "answered",
        Outcome::Crossed => "crossed",
        Outcome::NotRun => "not-run",
        Outcome::Unknown => "unknown",
        Outcome::Conflict => "conflict",
        Outcome::Unanswered => "unanswered",
    }
}
