//! Tests of the interference model.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

const WORKERS: usize = 11;
const STEP: Duration = Duration::from_secs(10);
/// Task classes and their simulated effects per processor at full load.
const TRUE_EFFECTS: [(&str, f64); 4] = [
    ("quiet", 0.0),
    ("scan", 0.03),
    ("sort", 0.08),
    ("stream", 0.15),
];

/// A measurement that has not reached the model yet.
struct DelayedMeasurement {
    arrives: Time,
    input: Input,
}

/// Workers with random tasks and loads, whose noisy measurements arrive delayed and out
/// of order.
struct Simulation {
    rng: SmallRng,
    now: Time,
    pending: Vec<DelayedMeasurement>,
    model: Interference,
    /// Matches a measurement to the tasks at its arrival instead of its own time.
    match_by_arrival: bool,
    /// Factor on all true effects.
    scale: f64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::from_secs(1),
            pending: Vec::new(),
            model: Interference::new(InterferenceConfig::default()),
            match_by_arrival: false,
            scale: 1.0,
        }
    }

    fn run(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now = self.now.after(STEP);
            for worker in 0..WORKERS {
                self.run_worker(worker);
            }
            let now = self.now;
            let (due, rest) = self.pending.drain(..).partition(|m| m.arrives <= now);
            self.pending = rest;
            for delayed in due as Vec<DelayedMeasurement> {
                self.model.step(now, delayed.input);
            }
        }
    }

    fn run_worker(&mut self, worker: usize) {
        let name = NodeName::new(&format!("w{worker}")).unwrap();
        let mut occupants = Vec::new();
        let load: f64 = self.rng.random_range(0.1..0.9);
        let mut log = -1.5 + load * load * 1.2;
        for (class, effect) in TRUE_EFFECTS {
            let cores = f64::from(self.rng.random_range(0..4_u8));
            log += effect * self.scale * cores * load;
            occupants.push(Occupant {
                class: class.into(),
                cores,
            });
        }
        log += self.rng.random_range(-0.25..0.25);
        self.model.step(
            self.now,
            Input::OccupantsChanged {
                worker: name.clone(),
                at: self.now,
                occupants,
            },
        );
        let delay = Duration::from_secs(self.rng.random_range(15..60));
        let arrives = self.now.after(delay);
        let input = Input::LatencyMeasured {
            worker: name,
            at: if self.match_by_arrival {
                arrives
            } else {
                self.now
            },
            service: "web".into(),
            load,
            slowdown: log.exp(),
        };
        self.pending.push(DelayedMeasurement { arrives, input });
    }

    fn max_error(&self) -> f64 {
        let error = |(class, effect): (&str, f64)| {
            (self.model.effect("web", class).mean - effect * self.scale).abs()
        };
        TRUE_EFFECTS.into_iter().map(error).fold(0.0, f64::max)
    }
}

#[test]
fn effects_are_learned_from_delayed_and_noisy_measurements() {
    for seed in 1..=3 {
        let mut matched = Simulation::new(seed);
        matched.run(360);
        assert!(matched.max_error() < 0.015, "{}", matched.max_error());
        // Matching by arrival attributes the latency to the wrong tasks.
        let mut mismatched = Simulation::new(seed);
        mismatched.match_by_arrival = true;
        mismatched.run(360);
        assert!(mismatched.max_error() > 0.05, "{}", mismatched.max_error());
    }
}

#[test]
fn model_follows_a_change_of_the_effects() {
    let mut simulation = Simulation::new(4);
    simulation.run(360);
    simulation.scale = 0.3;
    assert!(simulation.max_error() > 0.08);
    simulation.run(1_080);
    assert!(simulation.max_error() < 0.03, "{}", simulation.max_error());
}

#[test]
fn uncertainty_falls_with_measurements_and_grows_with_time() {
    let mut simulation = Simulation::new(5);
    let config = InterferenceConfig::default();
    let prior = simulation.model.effect("web", "sort");
    assert_eq!(
        (prior.mean, prior.uncertainty),
        (config.prior, config.doubt)
    );
    simulation.run(120);
    let measured = simulation.model.effect("web", "sort");
    assert!(measured.uncertainty < 0.3 * config.doubt);
    simulation.now = simulation.now.after(Duration::from_secs(24 * 3_600));
    simulation.run(12);
    assert!(simulation.model.effect("web", "sort").uncertainty > measured.uncertainty);
}

#[test]
fn uncertainty_margin_applies_only_near_the_target() {
    let model = Interference::new(InterferenceConfig::default());
    let far = model.log_growth_per_core("web", "sort", 0.2);
    let near = model.log_growth_per_core("web", "sort", 0.8);
    assert!(near > far);
}

struct MeasurementCase {
    load: f64,
    slowdown: f64,
}

#[test]
fn invalid_and_unmatched_measurements_are_counted_and_dropped() {
    let cases = [
        MeasurementCase {
            load: 0.5,
            slowdown: f64::NAN,
        },
        MeasurementCase {
            load: 0.5,
            slowdown: 0.0,
        },
        MeasurementCase {
            load: 7.0,
            slowdown: 0.5,
        },
        MeasurementCase {
            load: 0.5,
            slowdown: 0.5,
        },
    ];
    let mut model = Interference::new(InterferenceConfig::default());
    for case in &cases {
        model.step(
            Time::from_secs(9),
            Input::LatencyMeasured {
                worker: NodeName::new("nobody").unwrap(),
                at: Time::from_secs(1),
                service: "web".into(),
                load: case.load,
                slowdown: case.slowdown,
            },
        );
    }
    assert_eq!(model.unmatched(), cases.len() as u64);
    let worker = NodeName::new("nobody").unwrap();
    assert!(model.expected_slowdown(&worker, "web", 0.5, &[]).is_none());
}

#[test]
fn classes_beyond_the_limit_share_one_effect() {
    let mut model = Interference::new(InterferenceConfig::default());
    let worker = NodeName::new("w").unwrap();
    for at in 0..100_u64 {
        let now = Time::from_secs(at);
        let occupants = vec![Occupant {
            class: format!("c{at}").into(),
            cores: 1.0,
        }];
        model.step(
            now,
            Input::OccupantsChanged {
                worker: worker.clone(),
                at: now,
                occupants,
            },
        );
        model.step(
            now,
            Input::LatencyMeasured {
                worker: worker.clone(),
                at: now,
                service: "web".into(),
                load: 0.5,
                slowdown: 0.5,
            },
        );
    }
    assert_eq!(model.models["web"].classes.len(), MAX_CLASSES);
    assert_eq!(model.effect("web", "c98"), model.effect("web", "c99"));
}
