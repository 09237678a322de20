//! Compares routing policies by a small queue model.
//!
//! Three entries, one in each zone, send requests to eleven endpoints, one of which
//! works three or ten times slower. Each endpoint works on eight requests at a time and keeps
//! the rest in the order of arrival. Entries know their own requests at once and
//! those of others by heartbeats. Prints the latency of each policy at several loads,
//! and its 99th percentile against round-robin over all endpoints.
//!
//! `cargo run --release -p parsleytally --example routing_policies [SEED]`

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use parsleytally::configs::RoutingConfig;
use parsleytally::membership::Load;
use parsleytally::routing::{
    EndpointId, EndpointInfo, Input, JoinIdleQueue, LatencyTwoChoices, NoEndpoint, Outcome, Policy,
    RoundRobin, Router, TwoChoices,
};
use parsleytally::types::{Incarnation, NodeName, ServiceKey, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ENTRIES: usize = 3;
const ENDPOINTS: usize = 11;
const SLOW: usize = 4;
const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;
const SERVICE_MICROS: f64 = 5_000.0;
const SLOW_FACTORS: [f64; 2] = [3.0, 10.0];
const ONE_WAY_MICROS: u64 = 1_000;
const HEARTBEAT_MICROS: u64 = 500_000;
const WARM_UP_MICROS: u64 = 20_000_000;
const RUN_MICROS: u64 = 120_000_000;
const LOADS: [f64; 4] = [0.3, 0.5, 0.7, 0.85];

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { entry: usize },
    AtEndpoint { request: usize },
    Served { request: usize },
    Answered { request: usize },
    Heartbeat,
}

#[derive(Debug, Clone, Copy)]
struct Request {
    entry: usize,
    endpoint: usize,
    id: EndpointId,
    sent: u64,
}

#[derive(Debug, Default)]
struct Endpoint {
    working: u32,
    queue: VecDeque<usize>,
    by_entry: [u32; ENTRIES],
}

struct Outcomes {
    latency: Histogram<u64>,
    refused: u64,
    slow: u64,
    remote: u64,
    total: u64,
    pick: Duration,
}

struct Model {
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    requests: Vec<Request>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    rng: SmallRng,
    gap: f64,
    slowness: f64,
    key: ServiceKey,
    workers: Vec<NodeName>,
    outcomes: Outcomes,
}

fn zone(index: usize) -> String {
    format!("z{}", index % ENTRIES)
}

fn main() {
    let seed = std::env::args().nth(1);
    let seed = seed.map_or(1, |text| text.parse().expect("the seed is a number"));
    println!("seed {seed}; latencies in ms; ratio is p99 against round-robin over all");
    println!(
        "{:>5} {:>5} {:>22} {:>8} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>8}",
        "slow",
        "load",
        "policy",
        "p50",
        "p99",
        "p99.9",
        "ratio",
        "to slow",
        "remote",
        "refused",
        "ns/pick"
    );
    for slowness in SLOW_FACTORS {
        for load in LOADS {
            compare(seed, load, slowness);
        }
    }
}

fn compare(seed: u64, load: f64, slowness: f64) {
    let mut base = None;
    for (title, zoned, policy) in contestants() {
        let outcomes = Model::new(seed, load, slowness, zoned, policy).run();
        let p99 = outcomes.latency.value_at_quantile(0.99) as f64;
        let ratio = p99 / *base.get_or_insert(p99);
        print!("{slowness:>5} {load:>5} ");
        print_row(title, ratio, &outcomes);
    }
}

type MakePolicy = fn() -> Box<dyn Policy>;

fn contestants() -> [(&'static str, bool, MakePolicy); 5] {
    [
        ("round-robin over all", false, || Box::new(RoundRobin)),
        ("round-robin", true, || Box::new(RoundRobin)),
        ("join-idle-queue", true, || Box::new(JoinIdleQueue)),
        ("two-choices", true, || Box::new(TwoChoices)),
        ("latency-two-choices", true, || Box::new(LatencyTwoChoices)),
    ]
}

fn print_row(title: &str, ratio: f64, outcomes: &Outcomes) {
    let millis = |q| outcomes.latency.value_at_quantile(q) as f64 / 1e3;
    println!(
        "{title:>22} {:>8.1} {:>8.1} {:>8.1} {ratio:>7.2} {:>7.2}% {:>7.1}% {:>8} {:>8.0}",
        millis(0.5),
        millis(0.99),
        millis(0.999),
        100.0 * outcomes.slow as f64 / outcomes.total as f64,
        100.0 * outcomes.remote as f64 / outcomes.total as f64,
        outcomes.refused,
        outcomes.pick.as_nanos() as f64 / outcomes.total as f64,
    );
}

impl Model {
    /// `load` is the share of what all endpoints can do; without `zoned` an entry
    /// sees all endpoints as near and no slots below the bound of connections.
    fn new(seed: u64, load: f64, slowness: f64, zoned: bool, policy: MakePolicy) -> Self {
        let fast = (ENDPOINTS - 1) as f64 + 1.0 / slowness;
        let rate = load * fast * f64::from(SLOTS) / SERVICE_MICROS;
        let key = ServiceKey {
            team: "demo".parse().expect("a valid name"),
            service: "echo".parse().expect("a valid name"),
        };
        let workers = (0..ENDPOINTS).map(|i| format!("w{i}").parse().expect("a valid name"));
        let mut model = Self {
            routers: Vec::new(),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            requests: Vec::new(),
            events: BinaryHeap::new(),
            order: 0,
            rng: SmallRng::seed_from_u64(seed),
            gap: ENTRIES as f64 / rate,
            slowness,
            key,
            workers: workers.collect(),
            outcomes: Outcomes {
                latency: Histogram::new_with_bounds(1, RUN_MICROS, 3).expect("valid bounds"),
                refused: 0,
                slow: 0,
                remote: 0,
                total: 0,
                pick: Duration::ZERO,
            },
        };
        for entry in 0..ENTRIES {
            let router = model.router(entry, zoned, policy());
            model.routers.push(router);
        }
        model
    }

    fn router(&mut self, entry: usize, zoned: bool, policy: Box<dyn Policy>) -> Router {
        let own = zone(entry).parse().expect("a valid name");
        let mut router = Router::new(RoutingConfig::default(), own, policy);
        for (i, worker) in self.workers.iter().enumerate() {
            let at = zone(if zoned { i } else { entry });
            let offer = EndpointInfo {
                worker: worker.clone(),
                incarnation: Incarnation(1),
                service: self.key.clone(),
                zone: at.parse().expect("a valid name"),
                slots: if zoned { SLOTS } else { CONNECTIONS },
                connections: CONNECTIONS,
            };
            let input = Input::Announced(offer);
            router.step(Time::ZERO, input, &mut self.rng, &mut Vec::new());
        }
        router
    }

    fn run(mut self) -> Outcomes {
        for entry in 0..ENTRIES {
            self.after(0, Event::Arrival { entry });
        }
        self.after(0, Event::Heartbeat);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= RUN_MICROS {
                break;
            }
            self.handle(now, event);
        }
        self.outcomes
    }

    fn after(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival { entry } => self.arrive(now, entry),
            Event::AtEndpoint { request } => {
                let endpoint = self.requests[request].endpoint;
                self.endpoints[endpoint].queue.push_back(request);
                self.work(now, endpoint);
            }
            Event::Served { request } => {
                let Request {
                    endpoint, entry, ..
                } = self.requests[request];
                self.endpoints[endpoint].working -= 1;
                self.endpoints[endpoint].by_entry[entry] -= 1;
                self.after(now + self.one_way(request), Event::Answered { request });
                self.work(now, endpoint);
            }
            Event::Answered { request } => self.answer(now, request),
            Event::Heartbeat => self.heartbeat(now),
        }
    }

    fn arrive(&mut self, now: u64, entry: usize) {
        let gap = self.exponential(self.gap);
        self.after(now + gap, Event::Arrival { entry });
        let started = Instant::now();
        let router = &mut self.routers[entry];
        let picked = router.pick(Time::from_micros(now), &self.key, &[], &mut self.rng);
        self.outcomes.pick += started.elapsed();
        self.outcomes.total += 1;
        match picked {
            Ok(picked) => self.send(now, entry, &picked.worker, picked.endpoint),
            Err(NoEndpoint::NoCapacity) => self.outcomes.refused += 1,
            Err(NoEndpoint::Unknown) => unreachable!("all endpoints are offered"),
        }
    }

    fn send(&mut self, now: u64, entry: usize, worker: &NodeName, id: EndpointId) {
        let endpoint = self.workers.iter().position(|w| w == worker);
        let endpoint = endpoint.expect("the router knows these workers only");
        self.outcomes.slow += u64::from(endpoint == SLOW);
        self.outcomes.remote += u64::from(zone(endpoint) != zone(entry));
        self.endpoints[endpoint].by_entry[entry] += 1;
        self.requests.push(Request {
            entry,
            endpoint,
            id,
            sent: now,
        });
        let request = self.requests.len() - 1;
        self.after(now + self.one_way(request), Event::AtEndpoint { request });
    }

    fn one_way(&self, request: usize) -> u64 {
        let Request {
            entry, endpoint, ..
        } = self.requests[request];
        if zone(entry) == zone(endpoint) {
            return ONE_WAY_MICROS / 10;
        }
        ONE_WAY_MICROS
    }

    /// Starts waiting requests while slots are free.
    fn work(&mut self, now: u64, index: usize) {
        while self.endpoints[index].working < SLOTS {
            let Some(request) = self.endpoints[index].queue.pop_front() else {
                return;
            };
            self.endpoints[index].working += 1;
            let factor = if index == SLOW { self.slowness } else { 1.0 };
            let span = self.exponential(SERVICE_MICROS * factor);
            self.after(now + span, Event::Served { request });
        }
    }

    fn answer(&mut self, now: u64, request: usize) {
        let Request {
            entry, id, sent, ..
        } = self.requests[request];
        let latency = now - sent;
        if sent >= WARM_UP_MICROS {
            self.outcomes.latency.saturating_record(latency);
        }
        let input = Input::Done {
            endpoint: id,
            outcome: Outcome::Answered(Duration::from_micros(latency)),
        };
        let router = &mut self.routers[entry];
        router.step(
            Time::from_micros(now),
            input,
            &mut self.rng,
            &mut Vec::new(),
        );
    }

    fn heartbeat(&mut self, now: u64) {
        self.after(now + HEARTBEAT_MICROS, Event::Heartbeat);
        for (endpoint, worker) in self.endpoints.iter().zip(&self.workers) {
            let outstanding = endpoint.by_entry.iter().sum();
            for (router, yours) in self.routers.iter_mut().zip(endpoint.by_entry) {
                let input = Input::LoadReported {
                    worker,
                    incarnation: Incarnation(1),
                    load: Load {
                        outstanding,
                        from_receiver: yours,
                    },
                };
                router.step(
                    Time::from_micros(now),
                    input,
                    &mut self.rng,
                    &mut Vec::new(),
                );
            }
        }
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        let unit: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (-unit.ln() * mean) as u64
    }
}
