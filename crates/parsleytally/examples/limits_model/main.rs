//! Compares the ways of adapting an agent's limit on a model of one endpoint.
//!
//! The model is a processor-sharing server: `n` requests in service progress at
//! full speed while `n` is at most its capacity, and slower beyond it, the more
//! so as they contend. Run by `cargo run --release --example limits_model`.

mod ways;

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use parsleytally::configs::{AdaptKind, LimitsConfig};
use parsleytally::limits::{AdmissionControl, Class, Input, Outcome, Output, Ticket};
use parsleytally::types::Time;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use ways::{Aimd, Gradient, Range};

const SEEDS: [u64; 3] = [11, 12, 13];
const SPAN: Duration = Duration::from_secs(120);
const DEADLINE: Duration = Duration::from_millis(250);

/// Loss of speed per request beyond the capacity, as a share of the capacity.
const CONTENTION: f64 = 1.5;

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    rate: f64,
    long_share: f64,
    noisy_capacity: f64,
}

#[derive(Debug, Clone, Copy)]
enum Way {
    Fixed,
    Aimd,
    Gradient,
    Climb,
}

impl Way {
    const ALL: [Self; 4] = [Self::Fixed, Self::Aimd, Self::Gradient, Self::Climb];

    fn limits(self) -> AdmissionControl {
        let mut config = LimitsConfig::default();
        let range = Range {
            floor: f64::from(config.floor),
            slots: f64::from(config.slots),
        };
        match self {
            Self::Fixed => {
                config.adapt = AdaptKind::Fixed;
                AdmissionControl::new(config)
            }
            Self::Aimd => {
                AdmissionControl::with_concurrency_limit(config, Box::new(Aimd::new(range)))
            }
            Self::Gradient => {
                AdmissionControl::with_concurrency_limit(config, Box::new(Gradient::new(range)))
            }
            Self::Climb => {
                config.adapt = AdaptKind::Climb;
                AdmissionControl::new(config)
            }
        }
    }
}

const SCENARIOS: [Scenario; 4] = [
    Scenario {
        name: "steady, 60% load",
        rate: 480.0,
        long_share: 0.0,
        noisy_capacity: 8.0,
    },
    Scenario {
        name: "mixed lengths, 60% load",
        rate: 250.0,
        long_share: 0.1,
        noisy_capacity: 8.0,
    },
    Scenario {
        name: "noisy neighbour half the time",
        rate: 480.0,
        long_share: 0.0,
        noisy_capacity: 3.0,
    },
    Scenario {
        name: "noisy neighbour, mixed lengths",
        rate: 250.0,
        long_share: 0.1,
        noisy_capacity: 3.0,
    },
];

const SHORT: f64 = 0.010;
const LONG: f64 = 0.100;
const NOISE_PERIOD: f64 = 20.0;

struct Request {
    arrived: f64,
    work: f64,
}

struct Model {
    scenario: Scenario,
    limits: AdmissionControl,
    rng: SmallRng,
    now: f64,
    waiting: BTreeMap<Ticket, Request>,
    running: BTreeMap<Ticket, Request>,
    latency: Histogram<u64>,
    good: u64,
    refused: u64,
    late: u64,
}

impl Model {
    fn new(scenario: Scenario, way: Way, seed: u64) -> Self {
        Self {
            scenario,
            limits: way.limits(),
            rng: SmallRng::seed_from_u64(seed),
            now: 0.0,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            latency: Histogram::new(3).expect("three digits are valid"),
            good: 0,
            refused: 0,
            late: 0,
        }
    }

    fn run(&mut self) {
        let mut next_arrival = 0.0_f64;
        let mut number = 0;
        while self.now < SPAN.as_secs_f64() {
            let speed = self.speed();
            let finish = self.next_finish(speed);
            let wake = self.limits.next_wake().map_or(f64::MAX, seconds);
            let until = next_arrival
                .min(wake)
                .min(finish.map_or(f64::MAX, |(at, _)| at))
                .max(self.now);
            self.progress(until, speed);
            if let Some((at, ticket)) = finish
                && at <= until
            {
                self.finish(ticket);
            } else if next_arrival <= until {
                self.arrive(Ticket(number));
                number += 1;
                next_arrival += -self.rng.random::<f64>().ln() / self.scenario.rate;
            } else {
                self.step(Input::Tick);
            }
        }
    }

    /// Share of full speed at which each request in service progresses.
    fn speed(&self) -> f64 {
        let is_noisy = (self.now / NOISE_PERIOD) as u64 % 2 == 1;
        let capacity = if is_noisy {
            self.scenario.noisy_capacity
        } else {
            8.0
        };
        let n = self.running.len() as f64;
        let excess = (n - capacity).max(0.0) / capacity;
        (capacity / n.max(1.0)).min(1.0) / (1.0 + CONTENTION * excess)
    }

    fn next_finish(&self, speed: f64) -> Option<(f64, Ticket)> {
        let finish = |(ticket, request): (&Ticket, &Request)| {
            (self.now + request.work.max(0.0) / speed, *ticket)
        };
        self.running
            .iter()
            .map(finish)
            .min_by(|a, b| a.0.total_cmp(&b.0))
    }

    fn progress(&mut self, until: f64, speed: f64) {
        let done = (until - self.now) * speed;
        for request in self.running.values_mut() {
            request.work -= done;
        }
        self.now = until;
    }

    fn arrive(&mut self, ticket: Ticket) {
        let is_long = self.rng.random_bool(self.scenario.long_share);
        let mean = if is_long { LONG } else { SHORT };
        let work = mean * self.rng.random_range(0.5..1.5);
        let arrived = self.now;
        self.waiting.insert(ticket, Request { arrived, work });
        self.step(Input::Arrive {
            ticket,
            class: Class::Critical,
            deadline: time(self.now).after(DEADLINE),
        });
    }

    fn finish(&mut self, ticket: Ticket) {
        let Some(request) = self.running.remove(&ticket) else {
            return;
        };
        let spent = self.now - request.arrived;
        if spent <= DEADLINE.as_secs_f64() {
            self.good += 1;
        } else {
            self.late += 1;
        }
        self.latency
            .record((spent * 1e6) as u64)
            .expect("histogram grows");
        let end = Outcome::Answered;
        self.step(Input::Finish {
            ticket,
            outcome: end,
        });
    }

    fn step(&mut self, input: Input) {
        let mut out = Vec::new();
        self.limits.step(time(self.now), input, &mut out);
        for output in out {
            match output {
                Output::Start { ticket } => {
                    let request = self.waiting.remove(&ticket).expect("request waits");
                    self.running.insert(ticket, request);
                }
                Output::Refuse { ticket, .. } => {
                    self.waiting.remove(&ticket);
                    self.refused += 1;
                }
            }
        }
    }
}

fn time(seconds: f64) -> Time {
    Time::from_micros((seconds * 1e6).ceil() as u64)
}

fn seconds(time: Time) -> f64 {
    time.as_micros() as f64 / 1e6
}

fn main() {
    println!(
        "{:<32} {:<9} {:>9} {:>8} {:>7} {:>9} {:>9}",
        "scenario", "way", "in time/s", "refused", "late", "p50 ms", "p99 ms"
    );
    for scenario in SCENARIOS {
        for way in Way::ALL {
            report(scenario, way);
        }
    }
}

fn report(scenario: Scenario, way: Way) {
    let mut latency = Histogram::<u64>::new(3).expect("three digits are valid");
    let (mut good, mut refused, mut late) = (0, 0, 0);
    for seed in SEEDS {
        let mut model = Model::new(scenario, way, seed);
        model.run();
        latency.add(&model.latency).expect("same precision");
        good += model.good;
        refused += model.refused;
        late += model.late;
    }
    let span = SPAN.as_secs_f64() * SEEDS.len() as f64;
    let millis = |quantile| latency.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{:<32} {:<9} {:>9.1} {:>8} {:>7} {:>9.1} {:>9.1}",
        scenario.name,
        format!("{way:?}"),
        good as f64 / span,
        refused,
        late,
        millis(0.5),
        millis(0.99)
    );
}
