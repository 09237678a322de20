//! Open-loop arrivals: requests are sent when they are due, whatever has been answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::runtime::Handle;
use tokio::sync::mpsc;

use crate::caller::{Call, Caller, Kind, Outcome};
use crate::options::Options;

/// Requests in flight at which the tool itself counts as overloaded.
const MAX_IN_FLIGHT: u64 = 8_192;
/// Time before an arrival in which the pacer spins rather than sleeps.
const SPIN: Duration = Duration::from_micros(200);
/// Time between two lines of progress.
const PROGRESS: Duration = Duration::from_secs(5);

/// A request that has ended.
#[derive(Debug)]
pub(crate) struct Ended {
    pub(crate) call: Call,
    pub(crate) outcome: Outcome,
    /// From the time it was due.
    pub(crate) latency: Duration,
}

/// Makes the requests of a run, the same for the same seed.
struct Mix {
    options: Options,
    callers: Vec<SocketAddr>,
    endpoints: Vec<SocketAddr>,
    rng: SmallRng,
    number: u64,
}

impl Mix {
    /// Requests of one arrival: one, or two with the same key.
    fn arrival(&mut self) -> Vec<Call> {
        self.number += 1;
        let is_booking = self.rng.random_bool(self.options.bookings);
        let is_repeated = is_booking && self.rng.random_bool(self.options.repeats);
        let direct = !is_booking && self.rng.random_bool(self.options.direct);
        let addresses = if direct {
            &self.endpoints
        } else {
            &self.callers
        };
        let first = self.rng.random_range(0..addresses.len());
        let token = format!("t{}-{}", self.options.seed, self.number);
        let mut body = format!("{token} ");
        let rest = self.options.body.saturating_sub(body.len());
        body.extend(std::iter::repeat_n('x', rest));
        let kind = match is_booking {
            true => Kind::Book {
                key: is_repeated.then(|| format!("key-{token}")),
            },
            false => Kind::Read {
                service: self.options.service,
            },
        };
        let call = Call {
            address: addresses[first],
            direct,
            token,
            kind,
            body,
            deadline: self.options.deadline,
        };
        if !is_repeated {
            return vec![call];
        }
        let second = Call {
            address: self.callers[(first + 1) % self.callers.len()],
            ..call.clone()
        };
        vec![call, second]
    }

    fn gap(&mut self) -> Duration {
        let unit: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-unit.ln() / self.options.rate)
    }
}

/// Requests that the tool could not send, since too many were in flight.
#[derive(Debug, Default)]
pub(crate) struct Paced {
    pub(crate) skipped: u64,
    pub(crate) span: Duration,
}

/// Sends the run's requests from a thread of its own; what has ended goes to `ended`.
pub(crate) fn pace(
    options: &Options,
    callers: Vec<SocketAddr>,
    endpoints: Vec<SocketAddr>,
    caller: &Caller,
    runtime: &Handle,
    ended: &mpsc::UnboundedSender<Ended>,
) -> Paced {
    let mut mix = Mix {
        rng: SmallRng::seed_from_u64(options.seed),
        options: options.clone(),
        callers,
        endpoints,
        number: 0,
    };
    let in_flight = Arc::new(AtomicU64::new(0));
    let mut paced = Paced::default();
    let start = Instant::now();
    let mut due = start;
    let mut shown = start;
    while mix.number < options.requests {
        due += mix.gap();
        wait_until(due);
        for call in mix.arrival() {
            if in_flight.load(Ordering::Relaxed) >= MAX_IN_FLIGHT {
                paced.skipped += 1;
                continue;
            }
            in_flight.fetch_add(1, Ordering::Relaxed);
            let (caller, ended) = (caller.clone(), ended.clone());
            let in_flight = in_flight.clone();
            runtime.spawn(async move {
                let outcome = caller.send(&call).await;
                let latency = due.elapsed();
                in_flight.fetch_sub(1, Ordering::Relaxed);
                let _ = ended.send(Ended {
                    call,
                    outcome,
                    latency,
                });
            });
        }
        if shown.elapsed() >= PROGRESS {
            shown = Instant::now();
            let flying = in_flight.load(Ordering::Relaxed);
            eprintln!(
                "{} of {} sent, {flying} in flight",
                mix.number, options.requests
            );
        }
    }
    paced.span = start.elapsed();
    paced
}

fn wait_until(due: Instant) {
    let rest = due.saturating_duration_since(Instant::now());
    if rest > SPIN {
        std::thread::sleep(rest - SPIN);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
}
