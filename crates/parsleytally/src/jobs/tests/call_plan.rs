//! Tests of how a request goes on after the outcomes of its calls.

use std::time::Duration;

use super::super::*;
use crate::types::Time;

/// A call that was made and did not complete its request.
#[derive(Debug, Clone, Copy)]
enum Made {
    Store(CallFailure),
    Relay(CallFailure),
}

use CallFailure::{NoEffect, Unknown};
use Made::{Relay, Store};

struct Case {
    name: &'static str,
    made: &'static [Made],
    left_ms: u64,
    store_answers: bool,
    relay_available: bool,
    next: NextCall,
}

/// Guards against "unknown" where nothing was sent, "refused" where something was, and calls
/// or waits that can't change the answer.
#[test]
fn the_next_call_follows_from_the_outcomes_so_far() {
    let cases = [
        Case {
            name: "the store answers",
            made: &[],
            left_ms: 3_000,
            store_answers: true,
            relay_available: true,
            next: NextCall::Store,
        },
        Case {
            name: "the store does not answer",
            made: &[],
            left_ms: 3_000,
            store_answers: false,
            relay_available: true,
            next: NextCall::Relay,
        },
        Case {
            name: "no way is left",
            made: &[],
            left_ms: 3_000,
            store_answers: false,
            relay_available: false,
            next: NextCall::Refuse,
        },
        Case {
            name: "no time is left for the first call",
            made: &[],
            left_ms: 9,
            store_answers: true,
            relay_available: true,
            next: NextCall::Refuse,
        },
        Case {
            name: "the store did not take the call",
            made: &[Store(NoEffect)],
            left_ms: 3_000,
            store_answers: false,
            relay_available: false,
            next: NextCall::Refuse,
        },
        Case {
            name: "the store did not take the call but answers others",
            made: &[Store(NoEffect)],
            left_ms: 3_000,
            store_answers: true,
            relay_available: false,
            next: NextCall::Store,
        },
        Case {
            name: "the store refuses all calls and answers others",
            made: &[Store(NoEffect); 4],
            left_ms: 3_000,
            store_answers: true,
            relay_available: false,
            next: NextCall::Refuse,
        },
        Case {
            name: "another entry settles an unknown outcome",
            made: &[Store(Unknown)],
            left_ms: 2_000,
            store_answers: false,
            relay_available: true,
            next: NextCall::Relay,
        },
        Case {
            name: "a repeated call settles an unknown outcome",
            made: &[Store(Unknown)],
            left_ms: 2_000,
            store_answers: false,
            relay_available: false,
            next: NextCall::Store,
        },
        Case {
            name: "the outcome stays unknown after a second loss",
            made: &[Store(Unknown), Store(Unknown)],
            left_ms: 1_000,
            store_answers: true,
            relay_available: false,
            next: NextCall::Unknown,
        },
        Case {
            name: "a later refusal does not undo an unknown outcome",
            made: &[
                Store(Unknown),
                Store(NoEffect),
                Store(NoEffect),
                Store(NoEffect),
            ],
            left_ms: 1_000,
            store_answers: true,
            relay_available: false,
            next: NextCall::Unknown,
        },
        Case {
            name: "no time is left after an unknown outcome",
            made: &[Store(Unknown)],
            left_ms: 99,
            store_answers: true,
            relay_available: true,
            next: NextCall::Unknown,
        },
        Case {
            name: "an entry could not help, another can be asked",
            made: &[Relay(NoEffect)],
            left_ms: 2_000,
            store_answers: false,
            relay_available: true,
            next: NextCall::Relay,
        },
        Case {
            name: "no entry could help",
            made: &[Relay(NoEffect), Relay(NoEffect)],
            left_ms: 2_000,
            store_answers: false,
            relay_available: false,
            next: NextCall::Refuse,
        },
        Case {
            name: "the store returns while entries are asked",
            made: &[Relay(NoEffect)],
            left_ms: 2_000,
            store_answers: true,
            relay_available: true,
            next: NextCall::Store,
        },
        Case {
            name: "an entry did not answer",
            made: &[Relay(Unknown)],
            left_ms: 2_000,
            store_answers: false,
            relay_available: false,
            next: NextCall::Unknown,
        },
    ];
    for case in cases {
        let mut plan = CallPlan::default();
        for made in case.made {
            match made {
                Store(failure) => plan.store_failed(*failure),
                Relay(failure) => plan.relay_failed(*failure),
            }
        }
        let context = CallContext {
            left: Duration::from_millis(case.left_ms),
            store_answers: case.store_answers,
            relay_available: case.relay_available,
        };
        assert_eq!(plan.next(&context), case.next, "{}", case.name);
    }
}

/// A request that begins with a read tries the store once even if it is not expected to
/// answer: nothing can take effect by that.
#[test]
fn a_read_is_tried_after_other_entries() {
    let mut plan = CallPlan::reading_first();
    let mut context = CallContext {
        left: Duration::from_secs(2),
        store_answers: false,
        relay_available: true,
    };
    assert_eq!(plan.next(&context), NextCall::Relay);
    context.relay_available = false;
    assert_eq!(plan.next(&context), NextCall::Store);
    plan.store_failed(NoEffect);
    assert_eq!(plan.next(&context), NextCall::Refuse);
}

/// Guards against requests that end neither by an answer nor by their time.
#[test]
fn every_request_ends() {
    for failure in [NoEffect, Unknown] {
        for (store_answers, relay_available) in [(true, true), (true, false), (false, true)] {
            let context = CallContext {
                left: Duration::from_secs(3),
                store_answers,
                relay_available,
            };
            let mut plan = CallPlan::default();
            let mut calls = 0;
            loop {
                match plan.next(&context) {
                    NextCall::Store => plan.store_failed(failure),
                    NextCall::Relay => plan.relay_failed(failure),
                    end => {
                        let unknown = end == NextCall::Unknown;
                        assert_eq!(unknown, failure == Unknown);
                        break;
                    }
                }
                calls += 1;
                assert!(calls < 30, "{context:?} {failure:?}");
            }
        }
    }
}

const JOB: JobId = JobId(5);

/// Guards against a refusal of a late copy whose job is stored or may be.
#[test]
fn copies_of_a_submission_know_of_each_other() {
    let at = Time::from_secs;
    let mut sent = SentJobs::default();
    assert_eq!(sent.earlier_copy(at(1), JOB, false), EarlierCopy::None);
    sent.begin(at(1), JOB);
    assert_eq!(sent.earlier_copy(at(1), JOB, true), EarlierCopy::None);
    assert_eq!(
        sent.earlier_copy(at(1), JOB, false),
        EarlierCopy::MaybeStored
    );
    sent.end(JOB, SentOutcome::NotStored);
    assert_eq!(sent.earlier_copy(at(1), JOB, false), EarlierCopy::None);
    sent.begin(at(2), JOB);
    sent.end(JOB, SentOutcome::Unknown);
    assert_eq!(
        sent.earlier_copy(at(9), JOB, false),
        EarlierCopy::MaybeStored
    );
    sent.begin(at(3), JOB);
    sent.end(JOB, SentOutcome::Stored);
    sent.begin(at(4), JOB);
    sent.end(JOB, SentOutcome::NotStored);
    assert_eq!(sent.earlier_copy(at(9), JOB, false), EarlierCopy::Stored);
    assert_eq!(sent.earlier_copy(at(70), JOB, false), EarlierCopy::None);
}

/// Guards against a memory that grows without end, or that forgets the newest submissions.
#[test]
fn only_recent_submissions_are_remembered() {
    let mut sent = SentJobs::default();
    for number in 0..5_000 {
        sent.begin(Time::from_millis(number), JobId(number));
        sent.end(JobId(number), SentOutcome::Stored);
    }
    let now = Time::from_millis(5_000);
    let known = (0..5_000)
        .filter(|number| sent.earlier_copy(now, JobId(*number), false) == EarlierCopy::Stored);
    assert_eq!(known.count(), 2_048);
    let last = sent.earlier_copy(now, JobId(4_999), false);
    assert_eq!(last, EarlierCopy::Stored);
}
