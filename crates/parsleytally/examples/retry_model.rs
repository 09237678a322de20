//! Counts attempts per request while a share of the attempts fails.
//!
//! Run by `cargo run --release --example retry_model`.

use std::time::Duration;

use parsleytally::configs::RetryConfig;
use parsleytally::retry::{Failure, Input, Output, Retry};
use parsleytally::types::{RequestId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 41;
const REQUESTS: u64 = 100_000;

/// Time between two requests, in microseconds.
const GAP: u64 = 1_000;

struct Tally {
    attempts: u64,
    answered: u64,
}

fn run(config: RetryConfig, failing: u32) -> Tally {
    let mut retry = Retry::new(config);
    let mut rng = SmallRng::seed_from_u64(SEED);
    let mut tally = Tally {
        attempts: 0,
        answered: 0,
    };
    let mut out = Vec::new();
    for n in 0..REQUESTS {
        let id = RequestId(n);
        let mut now = Time::from_micros(n * GAP);
        let begin = Input::Begin {
            id,
            deadline: now.after(Duration::from_secs(1)),
            idempotent: true,
        };
        retry.step(now, begin, &mut rng, &mut out);
        while let Some(Output::Send { at, .. }) = out.pop() {
            now = at;
            tally.attempts += 1;
            if rng.random_ratio(failing, 100) {
                let failure = Failure::Unknown;
                retry.step(now, Input::Failed { id, failure }, &mut rng, &mut out);
            } else {
                tally.answered += 1;
                retry.step(now, Input::Done { id }, &mut rng, &mut out);
            }
        }
    }
    tally
}

fn main() {
    println!("failing  budget   attempts per request  answered");
    for failing in [1, 5, 10, 30, 60, 100] {
        for share in [0.1, 1.0] {
            let config = RetryConfig {
                share,
                ..RetryConfig::default()
            };
            let tally = run(config, failing);
            println!(
                "{failing:>6}%  {share:>6.1}  {:>20.4}  {:>7.2}%",
                tally.attempts as f64 / REQUESTS as f64,
                tally.answered as f64 * 100.0 / REQUESTS as f64
            );
        }
    }
}
