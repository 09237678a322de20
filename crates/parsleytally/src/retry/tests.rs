//! Tests of the retry policy.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::*;
use crate::idempotency::RequestHash;

const REFUSED: Failure = Failure::NotRun {
    retry_after: Duration::from_millis(700),
};
const SEED: u64 = 41;

/// Retry state with its clock and random number generator.
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

    fn begin(&mut self, id: u64, idempotent: bool) {
        let deadline = self.now.after(Duration::from_secs(1));
        let id = RequestId(id);
        let begin = Input::Begin {
            id,
            deadline,
            idempotent,
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
    idempotent: bool,
    failures: &'static [Failure],
    end: Option<(Outcome, Reason)>,
}

#[test]
fn only_safe_requests_are_retried() {
    use Failure::Unknown;
    let cases = [
        Case {
            name: "a refused booking",
            idempotent: false,
            failures: &[REFUSED],
            end: None,
        },
        Case {
            name: "a booking of unknown outcome",
            idempotent: false,
            failures: &[Unknown],
            end: Some((Outcome::Unknown, Reason::NotIdempotent)),
        },
        Case {
            name: "a booking refused, then of unknown outcome",
            idempotent: false,
            failures: &[REFUSED, Unknown],
            end: Some((Outcome::Unknown, Reason::NotIdempotent)),
        },
        Case {
            name: "a read of unknown outcome",
            idempotent: true,
            failures: &[Unknown],
            end: None,
        },
        Case {
            name: "a read of unknown outcome, then refused at every attempt",
            idempotent: true,
            failures: &[Unknown, REFUSED, REFUSED, REFUSED],
            end: Some((Outcome::Unknown, Reason::AttemptsExhausted)),
        },
        Case {
            name: "a booking refused at every attempt",
            idempotent: false,
            failures: &[REFUSED, REFUSED, REFUSED, REFUSED],
            end: Some((Outcome::NotRun, Reason::AttemptsExhausted)),
        },
    ];
    for case in cases {
        let mut driver = Driver::new(RetryConfig::default());
        driver.begin(1, case.idempotent);
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
fn no_attempt_starts_close_to_the_deadline_and_giving_up_is_immediate() {
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
fn refusal_retry_after_is_returned_and_late_failures_are_ignored() {
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
fn backoff_grows_with_jitter() {
    let mut driver = Driver::new(RetryConfig::default());
    let mut delays = Vec::new();
    for id in 0..8 {
        driver.begin(id, true);
        for _ in 0..2 {
            if let Some(Output::Send { at, .. }) = driver.fail(id, Failure::Unknown) {
                delays.push(at.since(driver.now));
            }
        }
    }
    let (first, second): (Vec<_>, Vec<_>) = delays.chunks(2).map(|pair| (pair[0], pair[1])).unzip();
    let ms = Duration::from_millis;
    assert!(first.iter().all(|delay| (ms(5)..=ms(10)).contains(delay)));
    assert!(second.iter().all(|delay| (ms(10)..=ms(20)).contains(delay)));
    assert!(first.windows(2).all(|pair| pair[0] != pair[1]));
}

/// Mean attempts per request when `failing_percent` of the attempts fail.
fn amplification(config: RetryConfig, failing_percent: u32) -> f64 {
    const REQUESTS: u64 = 20_000;
    let mut driver = Driver::new(config);
    let mut failure_rng = SmallRng::seed_from_u64(SEED + 1);
    let mut attempts = 0_u64;
    for id in 0..REQUESTS {
        driver.begin(id, true);
        attempts += 1;
        while failure_rng.random_ratio(failing_percent, 100) {
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
fn retries_stay_within_their_share() {
    let config = RetryConfig::default();
    let burst = f64::from(config.burst) / 20_000.0;
    for failing_percent in [1, 30, 100] {
        let added = amplification(config.clone(), failing_percent) - 1.0;
        assert!(added <= config.share + burst, "{failing_percent}%: {added}");
    }
    let unlimited = RetryConfig {
        share: 1.0,
        burst: u32::MAX,
        ..config
    };
    assert!(amplification(unlimited, 30) > 1.3);
}

/// Guards against a request that crashes endpoint after endpoint, by retries or by repeats of its
/// callers, and against the refusal of requests that were in flight beside it.
#[test]
fn a_request_under_which_two_endpoints_were_lost_is_barred() {
    #[derive(Debug, Clone, Copy)]
    enum Event {
        /// Request and endpoint.
        Lost(u64, u32),
        Answered,
        WaitMs(u64),
    }
    use Event::{Answered, Lost, WaitMs};
    struct Case {
        what: &'static str,
        events: &'static [Event],
        barred_ms: Option<u64>,
    }
    let cases = [
        Case {
            what: "one endpoint",
            events: &[Lost(1, 1)],
            barred_ms: None,
        },
        Case {
            what: "two endpoints",
            events: &[Lost(1, 1), Lost(1, 2)],
            barred_ms: Some(5_000),
        },
        Case {
            what: "the same endpoint twice",
            events: &[Lost(1, 1), WaitMs(100), Lost(2, 1)],
            barred_ms: None,
        },
        Case {
            what: "a repeat by the caller",
            events: &[Lost(1, 1), WaitMs(3_000), Lost(2, 2)],
            barred_ms: Some(5_000),
        },
        Case {
            what: "an answer in between",
            events: &[Lost(1, 1), WaitMs(100), Answered, Lost(2, 2)],
            barred_ms: None,
        },
        Case {
            what: "two endpoints of two requests at the same moment",
            events: &[Lost(1, 1), WaitMs(20), Lost(2, 2)],
            barred_ms: None,
        },
        Case {
            what: "after the bar",
            events: &[Lost(1, 1), Lost(1, 2), WaitMs(5_000)],
            barred_ms: None,
        },
        Case {
            what: "one more after the bar",
            events: &[Lost(1, 1), Lost(1, 2), WaitMs(5_000), Lost(2, 3)],
            barred_ms: Some(10_000),
        },
        Case {
            what: "a minute later",
            events: &[Lost(1, 1), WaitMs(61_000), Lost(2, 2)],
            barred_ms: None,
        },
    ];
    let hash = RequestHash::new("GET", "/a", b"");
    for case in cases {
        let mut suspects = CrashSuspects::default();
        let mut now = Time::from_secs(1);
        for event in case.events {
            match *event {
                Lost(id, endpoint) => {
                    suspects.lost(now, RequestId(id), hash, endpoint);
                }
                Answered => suspects.answered(hash),
                WaitMs(millis) => now = now.after(Duration::from_millis(millis)),
            }
        }
        let barred = case.barred_ms.map(Duration::from_millis);
        assert_eq!(suspects.barred_for(now, hash), barred, "{}", case.what);
    }
}
