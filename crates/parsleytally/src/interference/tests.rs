//! Tests of the interference model.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

const WORKERS: usize = 11;
const STEP: Duration = Duration::from_secs(10);
/// Classes and their true effects per processor at full load.
const TRUE_EFFECTS: [(&str, f64); 4] = [
    ("quiet", 0.0),
    ("scan", 0.03),
    ("sort", 0.08),
    ("stream", 0.15),
];

/// A recorded measurement on its way.
struct Late {
    arrives: Time,
    input: Input,
}

/// Plays changing tasks and loads, with late, noisy and crossed measurements.
struct Recording {
    rng: SmallRng,
    now: Time,
    pending: Vec<Late>,
    model: Interference,
    /// Matches a measurement to the tasks at its arrival instead.
    by_arrival: bool,
    scale: f64,
}

impl Recording {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Time::from_secs(1),
            pending: Vec::new(),
            model: Interference::new(InterferenceConfig::default()),
            by_arrival: false,
            scale: 1.0,
        }
    }

    fn play(&mut self, steps: u32) {
        for _ in 0..steps {
            self.now = self.now.after(STEP);
            for worker in 0..WORKERS {
                self.play_worker(worker);
            }
            let now = self.now;
            let (due, rest) = self.pending.drain(..).partition(|l| l.arrives <= now);
            self.pending = rest;
            for late in due as Vec<Late> {
                self.model.step(now, late.input);
            }
        }
    }

    fn play_worker(&mut self, worker: usize) {
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
        let lag = Duration::from_secs(self.rng.random_range(15..60));
        let arrives = self.now.after(lag);
        let input = Input::LatencyMeasured {
            worker: name,
            at: if self.by_arrival { arrives } else { self.now },
            service: "web".into(),
            load,
            slowdown: log.exp(),
        };
        self.pending.push(Late { arrives, input });
    }

    fn worst_error(&self) -> f64 {
        let error = |(class, effect): (&str, f64)| {
            (self.model.effect("web", class).mean - effect * self.scale).abs()
        };
        TRUE_EFFECTS.into_iter().map(error).fold(0.0, f64::max)
    }
}

#[test]
fn known_effects_are_recovered_from_late_and_noisy_measurements() {
    for seed in 1..=3 {
        let mut matched = Recording::new(seed);
        matched.play(360);
        assert!(matched.worst_error() < 0.015, "{}", matched.worst_error());
        // Matching by arrival loses the strongest effect.
        let mut crossed = Recording::new(seed);
        crossed.by_arrival = true;
        crossed.play(360);
        assert!(crossed.worst_error() > 0.05, "{}", crossed.worst_error());
    }
}

#[test]
fn a_shift_is_followed() {
    let mut recording = Recording::new(4);
    recording.play(360);
    recording.scale = 0.3;
    assert!(recording.worst_error() > 0.08);
    recording.play(1_080);
    assert!(
        recording.worst_error() < 0.03,
        "{}",
        recording.worst_error()
    );
}

#[test]
fn an_unknown_pair_is_doubted_until_seen_and_again_after_long() {
    let mut recording = Recording::new(5);
    let config = InterferenceConfig::default();
    let unknown = recording.model.effect("web", "sort");
    assert_eq!(
        (unknown.mean, unknown.uncertainty),
        (config.prior, config.doubt)
    );
    recording.play(120);
    let known = recording.model.effect("web", "sort");
    assert!(known.uncertainty < 0.3 * config.doubt);
    recording.now = recording.now.after(Duration::from_secs(24 * 3_600));
    recording.play(12);
    assert!(recording.model.effect("web", "sort").uncertainty > known.uncertainty);
}

#[test]
fn doubt_counts_near_the_target_only() {
    let model = Interference::new(InterferenceConfig::default());
    let spare = model.log_growth_per_core("web", "sort", 0.2);
    let near = model.log_growth_per_core("web", "sort", 0.8);
    assert!(near > spare);
}

struct BadMeasure {
    load: f64,
    strain: f64,
}

#[test]
fn measurements_that_match_nothing_are_counted_and_dropped() {
    let cases = [
        BadMeasure {
            load: 0.5,
            strain: f64::NAN,
        },
        BadMeasure {
            load: 0.5,
            strain: 0.0,
        },
        BadMeasure {
            load: 7.0,
            strain: 0.5,
        },
        BadMeasure {
            load: 0.5,
            strain: 0.5,
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
                slowdown: case.strain,
            },
        );
    }
    assert_eq!(model.unmatched(), cases.len() as u64);
    let worker = NodeName::new("nobody").unwrap();
    assert!(model.expected_slowdown(&worker, "web", 0.5, &[]).is_none());
}

#[test]
fn classes_past_the_limit_share_one_effect() {
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
