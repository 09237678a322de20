//! Tests of the retries.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;

const REFUSED: Failure = Failure::NotRun {
    retry_after: Duration::from_millis(700),
};
const SEED: u64 = 41;

/// One entry's retries with their clock and random numbers.
struct Driver {
    retry: Retry,
    rng: SmallRng,
    now: Time,
}

impl Driver {
    fn new(config: RetryConfig) -> Self {
        Self {
            retry: Retry::new(config),
            rng: SmallRng::seed_from_u64(SEED),
            now: Time::from_secs(1),
        }
    }

    fn step(&mut self, input: Input) -> Option<Output> {
        let mut out = Vec::new();
        self.retry.step(self.now, input, &mut self.rng, &mut out);
        assert!(out.len() <= 1);
        out.pop()
    }

    fn begin(&mut self, id: u64, repeatable: bool) {
        let deadline = self.now.after(Duration::from_secs(1));
        let id = RequestId(id);
        let begin = Input::Begin {
            id,
            deadline,
            idempotent: repeatable,
        };
        assert!(matches!(
            self.step(begin),
            Some(Output::Send { attempt: 1, .. })
        ));
    }

    fn fail(&mut self, id: u64, failure: Failure) -> Option<Output> {
        let id = RequestId(id);
        self.step(Input::Failed { id, failure })
    }
}

struct Case {
    name: &'static str,
    repeatable: bool,
    failures: &'static [Failure],
    end: Option<(Outcome, Reason)>,
}

#[test]
fn only_what_is_safe_is_sent_again() {
    use Failure::Unknown;
    let cases = [
        Case {
            name: "a refused booking",
            repeatable: false,
            failures: &[REFUSED],
            end: None,
        },
        Case {
            name: "a booking of unknown outcome",
            repeatable: false,
            failures: &[Unknown],
            end: Some((Outcome::Unknown, Reason::NotIdempotent)),
        },
        Case {
            name: "a booking refused, then of unknown outcome",
            repeatable: false,
            failures: &[REFUSED, Unknown],
            end: Some((Outcome::Unknown, Reason::NotIdempotent)),
        },
        Case {
            name: "a read of unknown outcome",
            repeatable: true,
            failures: &[Unknown],
            end: None,
        },
        Case {
            name: "a read of unknown outcome, then refused to the end",
            repeatable: true,
            failures: &[Unknown, REFUSED, REFUSED, REFUSED],
            end: Some((Outcome::Unknown, Reason::AttemptsExhausted)),
        },
        Case {
            name: "a booking refused to the end",
            repeatable: false,
            failures: &[REFUSED, REFUSED, REFUSED, REFUSED],
            end: Some((Outcome::NotRun, Reason::AttemptsExhausted)),
        },
    ];
    for case in cases {
        let mut driver = Driver::new(RetryConfig::default());
        driver.begin(1, case.repeatable);
        let mut last = None;
        for failure in case.failures {
            last = driver.fail(1, *failure);
        }
        let end = match last {
            Some(Output::GiveUp {
                outcome, reason, ..
            }) => Some((outcome, reason)),
            _ => None,
        };
        assert_eq!(end, case.end, "{}", case.name);
        assert_eq!(driver.retry.pending() == 0, end.is_some(), "{}", case.name);
    }
}

#[test]
fn no_attempt_starts_after_the_deadline_and_the_answer_comes_at_once() {
    let config = RetryConfig {
        attempts: 100,
        burst: 1_000,
        ..RetryConfig::default()
    };
    let mut driver = Driver::new(config);
    driver.begin(1, true);
    let deadline = driver.now.after(Duration::from_secs(1));
    loop {
        let failed = driver.now;
        match driver.fail(1, Failure::Unknown) {
            Some(Output::Send { at, .. }) => {
                assert!(at.after(Duration::from_millis(100)) < deadline);
                driver.now = at;
            }
            Some(Output::GiveUp {
                reason,
                retry_after,
                ..
            }) => {
                assert_eq!(reason, Reason::Deadline);
                assert!(failed < deadline && retry_after > Duration::ZERO);
                return;
            }
            None => panic!("no output"),
        }
    }
}

#[test]
fn a_refusal_passes_its_wait_on_and_late_news_changes_nothing() {
    let config = RetryConfig {
        attempts: 1,
        ..RetryConfig::default()
    };
    let mut driver = Driver::new(config);
    driver.begin(1, false);
    let end = driver.fail(1, REFUSED);
    assert!(matches!(end, Some(Output::GiveUp { retry_after, .. })
        if retry_after == Duration::from_millis(700)));
    assert_eq!(driver.fail(1, Failure::Unknown), None);
    driver.step(Input::Done { id: RequestId(1) });
}

#[test]
fn waits_grow_and_differ() {
    let mut driver = Driver::new(RetryConfig::default());
    let mut waits = Vec::new();
    for id in 0..8 {
        driver.begin(id, true);
        for _ in 0..2 {
            if let Some(Output::Send { at, .. }) = driver.fail(id, Failure::Unknown) {
                waits.push(at.since(driver.now));
            }
        }
    }
    let (first, second): (Vec<_>, Vec<_>) = waits.chunks(2).map(|pair| (pair[0], pair[1])).unzip();
    let ms = Duration::from_millis;
    assert!(first.iter().all(|w| (ms(5)..=ms(10)).contains(w)));
    assert!(second.iter().all(|w| (ms(10)..=ms(20)).contains(w)));
    assert!(first.windows(2).all(|pair| pair[0] != pair[1]));
}

/// Requests at endpoints per caller's request when `failing` percent of attempts fail.
fn amplification(config: RetryConfig, failing: u32) -> f64 {
    const REQUESTS: u64 = 20_000;
    let mut driver = Driver::new(config);
    let mut chance = SmallRng::seed_from_u64(SEED + 1);
    let mut attempts = 0_u64;
    for id in 0..REQUESTS {
        driver.begin(id, true);
        attempts += 1;
        while chance.random_ratio(failing, 100) {
            match driver.fail(id, Failure::Unknown) {
                Some(Output::Send { .. }) => attempts += 1,
                _ => break,
            }
        }
        driver.step(Input::Done { id: RequestId(id) });
    }
    attempts as f64 / REQUESTS as f64
}

#[test]
fn retries_add_no_more_than_their_share() {
    let config = RetryConfig::default();
    let burst = f64::from(config.burst) / 20_000.0;
    for failing in [1, 30, 100] {
        let added = amplification(config.clone(), failing) - 1.0;
        assert!(added <= config.share + burst, "{failing}%: {added}");
    }
    let open = RetryConfig {
        share: 1.0,
        burst: u32::MAX,
        ..config
    };
    assert!(amplification(open, 30) > 1.3);
}
