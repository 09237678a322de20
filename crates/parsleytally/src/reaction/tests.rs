//! Tests of the reaction controller.

use super::*;
use crate::types::{Bytes, TaskName, TeamName};

const GIB: u64 = 1 << 30;
const STEP: Duration = Duration::from_secs(10);

/// Impact per processor: 0.1 for the class `noisy`, 0.001 for any other.
struct FixedImpact;

impl LatencyImpact for FixedImpact {
    fn log_growth_per_core(&self, _service: &str, task: &str, _slowdown: f64) -> f64 {
        if task == "noisy" { 0.1 } else { 0.001 }
    }
}

fn key(name: &str) -> TaskKey {
    TaskKey {
        team: TeamName::new("a").unwrap(),
        task: TaskName::new(name).unwrap(),
    }
}

fn run(name: &str, class: &str, unsaved: u64) -> RunView {
    RunView {
        task: key(name),
        class: class.into(),
        cores: 3.0,
        memory: Bytes(GIB),
        granted: Resources::new(3_000, GIB, 0),
        level: ThrottleLevel::Full,
        can_checkpoint: false,
        age: Duration::from_secs(10),
        unsaved: Duration::from_secs(unsaved),
    }
}

/// A worker on which throttles and removals take effect at once.
struct Bench {
    reaction: Reaction,
    now: Time,
    measurement_lag: Duration,
    sample: Sample,
}

impl Bench {
    fn new(config: DeploymentConfig, runs: Vec<RunView>) -> Self {
        Self {
            reaction: Reaction::new(config),
            now: Time::from_secs(100),
            measurement_lag: Duration::from_secs(10),
            sample: Sample {
                total: Resources::new(16_000, 60 * GIB, 0),
                granted: Resources::new(14_000, 30 * GIB, 0),
                memory: Bytes(20 * GIB),
                services: Vec::new(),
                runs,
            },
        }
    }

    fn measure(&mut self, slowdown: f64) -> Vec<Output> {
        self.now = self.now.after(STEP);
        let at = Time::from_micros(self.now.as_micros() - self.measurement_lag.as_micros() as u64);
        self.sample.services = vec![ServiceView {
            class: "web".into(),
            measured_at: at,
            slowdown,
            load: 0.8,
        }];
        let mut out = Vec::new();
        self.reaction
            .step(self.now, &self.sample, &FixedImpact, &mut out);
        for output in &out {
            self.apply(output);
        }
        out
    }

    fn apply(&mut self, output: &Output) {
        match output {
            Output::Throttle { task, level } => {
                let run = self.sample.runs.iter_mut().find(|r| r.task == *task);
                let run = run.unwrap();
                run.cores *= level.share() / run.level.share();
                run.level = *level;
            }
            Output::Move(task) | Output::Evict(task) => {
                self.sample.runs.retain(|r| r.task != *task);
            }
            Output::Resize { .. } => {}
        }
    }

    fn repeat(&mut self, slowdown: f64, times: u32) -> Vec<Output> {
        (0..times).flat_map(|_| self.measure(slowdown)).collect()
    }
}

fn removals(out: &[Output]) -> usize {
    let removal = |o: &&Output| matches!(o, Output::Move(_) | Output::Evict(_));
    out.iter().filter(removal).count()
}

#[test]
fn the_most_harmful_run_is_throttled_before_any_is_removed() {
    let runs = vec![run("calm", "plain", 10), run("loud", "noisy", 10)];
    let mut bench = Bench::new(DeploymentConfig::default(), runs);
    let out = bench.measure(0.95);
    let first = Output::Throttle {
        task: key("loud"),
        level: ThrottleLevel::Quarter,
    };
    assert_eq!(out[0], first);
    assert_eq!(removals(&out), 0);
    // No further change until this one shows in the measurements.
    assert!(bench.repeat(0.95, 2).is_empty());
}

#[test]
fn persistent_lateness_moves_the_cheapest_harmful_run() {
    let mut saved = run("saved", "noisy", 5_000);
    saved.can_checkpoint = true;
    let runs = vec![run("long", "noisy", 5_000), run("calm", "plain", 1), saved];
    let mut bench = Bench::new(DeploymentConfig::default(), runs);
    let out = bench.repeat(1.5, 30);
    let removal = out
        .iter()
        .find(|o| matches!(o, Output::Move(_) | Output::Evict(_)));
    assert_eq!(removal, Some(&Output::Move(key("saved"))));
}

struct WeightCase {
    text: &'static [u8],
    steps_until_removed: std::ops::RangeInclusive<u32>,
}

#[test]
fn deployment_weights_set_how_long_lateness_is_tolerated() {
    let cases = [
        WeightCase {
            text: include_bytes!("../../../../examples/orgonahang.ini"),
            steps_until_removed: 1..=12,
        },
        WeightCase {
            text: include_bytes!("../../../../examples/sonoro.ini"),
            steps_until_removed: 30..=400,
        },
    ];
    for case in cases {
        let config = DeploymentConfig::parse(case.text).unwrap();
        let mut bench = Bench::new(config, vec![run("t", "noisy", 60)]);
        let mut steps = 1;
        while removals(&bench.measure(1.3)) == 0 {
            steps += 1;
            assert!(steps < 1_000, "never moved");
        }
        assert!(case.steps_until_removed.contains(&steps), "{steps} steps");
    }
}

#[test]
fn the_budget_bounds_evictions_under_persistent_slowdown() {
    let runs = (0..40).map(|at| run(&format!("t{at}"), "noisy", 1));
    let mut bench = Bench::new(DeploymentConfig::default(), runs.collect());
    let out = bench.repeat(3.0, 360);
    let budget = DeploymentConfig::default().reaction.budget;
    assert!(removals(&out) as f64 <= 2.0 * budget);
    assert!(removals(&out) > 0);
}

#[test]
fn slowdown_near_the_threshold_does_not_oscillate_levels() {
    let mut bench = Bench::new(DeploymentConfig::default(), vec![run("t", "noisy", 1)]);
    let mut out = Vec::new();
    for _ in 0..180 {
        out.extend(bench.measure(0.92));
        out.extend(bench.measure(0.80));
    }
    // Throttled to the lowest level once, and kept there.
    assert!(out.len() <= 2, "{out:?}");
}

#[test]
fn throttled_runs_are_raised_after_a_calm_period() {
    let mut bench = Bench::new(DeploymentConfig::default(), vec![run("t", "noisy", 1)]);
    bench.measure(0.95);
    assert_ne!(bench.sample.runs[0].level, ThrottleLevel::Full);
    let calm = DeploymentConfig::default().reaction.calm;
    let steps = (calm.as_secs() / STEP.as_secs()) as u32;
    assert!(bench.repeat(0.3, steps).is_empty());
    bench.repeat(0.3, 3 * steps);
    assert_eq!(bench.sample.runs[0].level, ThrottleLevel::Full);
}

#[test]
fn stale_measurements_change_nothing() {
    let mut bench = Bench::new(DeploymentConfig::default(), vec![run("t", "noisy", 1)]);
    bench.measurement_lag = Duration::from_secs(90);
    assert!(bench.repeat(5.0, 100).is_empty());
    assert!(bench.repeat(0.1, 100).is_empty());
}

#[test]
fn a_run_over_its_memory_grant_is_resized_or_evicted() {
    let mut growing = run("t", "plain", 1);
    growing.memory = Bytes(5 * GIB);
    let mut bench = Bench::new(DeploymentConfig::default(), vec![growing]);
    let grown = Output::Resize {
        task: key("t"),
        need: Resources::new(3_000, 5 * GIB, 0),
    };
    assert_eq!(bench.measure(0.5), [grown]);
    bench.sample.granted = bench.sample.total;
    assert!(bench.measure(0.5).is_empty());
    bench.sample.memory = Bytes(58 * GIB);
    assert_eq!(bench.measure(0.5), [Output::Evict(key("t"))]);
}

struct ResizeCase {
    name: &'static str,
    age: u64,
    level: ThrottleLevel,
    cores: f64,
    granted: u64,
}

#[test]
fn cpu_grants_shrink_from_a_minimum_age_and_not_while_throttled() {
    let cases = [
        ResizeCase {
            name: "young",
            age: 60,
            level: ThrottleLevel::Full,
            cores: 1.0,
            granted: 3_000,
        },
        ResizeCase {
            name: "watched",
            age: 120,
            level: ThrottleLevel::Full,
            cores: 1.0,
            granted: 1_150,
        },
        ResizeCase {
            name: "throttled",
            age: 120,
            level: ThrottleLevel::Half,
            cores: 1.0,
            granted: 3_000,
        },
        ResizeCase {
            name: "nearly all in use",
            age: 120,
            level: ThrottleLevel::Full,
            cores: 2.5,
            granted: 3_000,
        },
    ];
    for case in cases {
        let mut run = run("t", "plain", 1);
        run.age = Duration::from_secs(case.age);
        run.level = case.level;
        run.cores = case.cores;
        let mut bench = Bench::new(DeploymentConfig::default(), vec![run]);
        let out = bench.measure(0.8);
        let granted = match &out[..] {
            [Output::Resize { need, .. }] => need.cpu.0,
            _ => 3_000,
        };
        assert_eq!(granted, case.granted, "{}", case.name);
    }
}
