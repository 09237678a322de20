//! Tests of admission control.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::configs::{AdaptKind, Document};

const FAR_FUTURE: Time = Time::from_secs(3_600);
const MS_10: Duration = Duration::from_millis(10);

/// Admission control with a manual clock and consecutive tickets.
struct Harness {
    admission: AdmissionControl,
    now: Time,
    next_ticket: u64,
}

impl Harness {
    fn new(slots: u32, queue: u32) -> Self {
        let config = LimitsConfig {
            slots,
            queue,
            adapt: AdaptKind::Fixed,
            ..LimitsConfig::default()
        };
        Self::with(config)
    }

    fn with(config: LimitsConfig) -> Self {
        Self {
            admission: AdmissionControl::new(config),
            now: Time::ZERO,
            next_ticket: 0,
        }
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.admission.step(self.now, input, &mut out);
        out
    }

    fn arrive(&mut self, class: Class, deadline: Time) -> (Ticket, Vec<Output>) {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let out = self.step(Input::Arrive {
            ticket,
            class,
            deadline,
        });
        (ticket, out)
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome) -> Vec<Output> {
        self.step(Input::Finish { ticket, outcome })
    }

    /// Runs requests of `service_time` one by one until the estimates are known.
    fn warm_up(&mut self, service_time: Duration) {
        for _ in 0..32 {
            let (ticket, _) = self.arrive(Class::Critical, FAR_FUTURE);
            self.now = self.now.after(service_time);
            self.finish(ticket, Outcome::Answered);
        }
    }
}

fn refusals(out: &[Output]) -> Vec<(Ticket, RefusalReason)> {
    let refusal = |output: &Output| match output {
        Output::Refuse { ticket, reason, .. } => Some((*ticket, *reason)),
        Output::Start { .. } => None,
    };
    out.iter().filter_map(refusal).collect()
}

#[test]
fn critical_requests_displace_bulk_ones_from_the_full_queue() {
    let mut harness = Harness::new(1, 2);
    let (_, out) = harness.arrive(Class::Bulk, FAR_FUTURE);
    assert_eq!(out, [Output::Start { ticket: Ticket(0) }]);
    harness.arrive(Class::Bulk, FAR_FUTURE);
    harness.arrive(Class::Bulk, FAR_FUTURE);

    let (bulk, out) = harness.arrive(Class::Bulk, FAR_FUTURE);
    assert_eq!(refusals(&out), [(bulk, RefusalReason::QueueFull)]);
    let (critical, out) = harness.arrive(Class::Critical, FAR_FUTURE);
    assert_eq!(refusals(&out), [(Ticket(2), RefusalReason::Displaced)]);
    harness.arrive(Class::Critical, FAR_FUTURE);
    let (third, out) = harness.arrive(Class::Critical, FAR_FUTURE);
    assert_eq!(refusals(&out), [(third, RefusalReason::QueueFull)]);
    let out = harness.finish(Ticket(0), Outcome::Answered);
    assert_eq!(out, [Output::Start { ticket: critical }]);
}

struct DeadlineCase {
    name: &'static str,
    queued: usize,
    deadline: Duration,
    refused: Option<RefusalReason>,
}

#[test]
fn requests_that_would_miss_their_deadline_are_refused_on_arrival() {
    let cases = [
        DeadlineCase {
            name: "after the expected answer",
            queued: 3,
            deadline: Duration::from_millis(60),
            refused: None,
        },
        DeadlineCase {
            name: "before the expected answer",
            queued: 3,
            deadline: Duration::from_millis(40),
            refused: Some(RefusalReason::DeadlineTooClose),
        },
        DeadlineCase {
            name: "already passed",
            queued: 0,
            deadline: Duration::ZERO,
            refused: Some(RefusalReason::Expired),
        },
    ];
    for case in cases {
        let mut harness = Harness::new(1, 10);
        harness.warm_up(MS_10);
        for _ in 0..=case.queued {
            harness.arrive(Class::Critical, FAR_FUTURE);
        }
        let (ticket, out) = harness.arrive(Class::Critical, harness.now.after(case.deadline));
        let expected: Vec<_> = case.refused.map(|r| (ticket, r)).into_iter().collect();
        assert_eq!(refusals(&out), expected, "{}", case.name);
    }
}

#[test]
fn idle_endpoint_starts_a_request_whatever_the_estimate() {
    let mut harness = Harness::new(8, 8);
    harness.warm_up(Duration::from_secs(10));
    let deadline = harness.now.after(MS_10);
    let (ticket, out) = harness.arrive(Class::Critical, deadline);
    assert_eq!(out, [Output::Start { ticket }]);
    let (ticket, out) = harness.arrive(Class::Critical, deadline);
    assert_eq!(refusals(&out), [(ticket, RefusalReason::DeadlineTooClose)]);
}

#[test]
fn queued_request_is_refused_when_its_deadline_passes() {
    let mut harness = Harness::new(1, 2);
    harness.arrive(Class::Critical, FAR_FUTURE);
    let deadline = Time::from_millis(30);
    let (queued, _) = harness.arrive(Class::Critical, deadline);
    assert_eq!(harness.admission.next_wake(), Some(deadline));
    harness.now = deadline;
    let out = harness.step(Input::Tick);
    assert_eq!(refusals(&out), [(queued, RefusalReason::Expired)]);
    assert_eq!(harness.finish(Ticket(0), Outcome::Answered), []);
}

#[test]
fn draining_endpoint_finishes_its_requests_and_refuses_new_ones() {
    let mut harness = Harness::new(1, 4);
    harness.arrive(Class::Critical, FAR_FUTURE);
    let (second, _) = harness.arrive(Class::Critical, FAR_FUTURE);
    let (third, _) = harness.arrive(Class::Critical, FAR_FUTURE);
    assert_eq!(harness.step(Input::Drain), []);

    let (arrival, out) = harness.arrive(Class::Critical, FAR_FUTURE);
    assert_eq!(refusals(&out), [(arrival, RefusalReason::Draining)]);
    let out = harness.finish(Ticket(0), Outcome::Answered);
    assert_eq!(out, [Output::Start { ticket: second }]);
    harness.now = harness.admission.next_wake().unwrap();
    assert_eq!(
        refusals(&harness.step(Input::Tick)),
        [(third, RefusalReason::Draining)]
    );
    harness.finish(second, Outcome::Answered);
    assert!(harness.admission.is_idle());
}

#[test]
fn abandoned_requests_count_as_connections_for_the_linger_time() {
    let config = LimitsConfig {
        slots: 1,
        connections: 2,
        ..LimitsConfig::default()
    };
    let linger = config.linger;
    let mut harness = Harness::with(config);
    for _ in 0..2 {
        let (ticket, out) = harness.arrive(Class::Critical, FAR_FUTURE);
        assert_eq!(out, [Output::Start { ticket }]);
        harness.finish(ticket, Outcome::Abandoned);
    }
    let (queued, out) = harness.arrive(Class::Critical, FAR_FUTURE);
    assert_eq!(out, []);
    harness.now = harness.admission.next_wake().unwrap();
    assert_eq!(harness.now, Time::ZERO.after(linger));
    let out = harness.step(Input::Tick);
    assert_eq!(out, [Output::Start { ticket: queued }]);
}

/// Records `seconds` of a saturated endpoint that answers `rate(limit)` requests per second.
fn saturate(
    algorithm: &mut dyn ConcurrencyLimit,
    from: Time,
    seconds: u64,
    rate: fn(u32) -> u64,
) -> u32 {
    let mut now = from;
    while now < from.after(Duration::from_secs(seconds)) {
        now = now.after(Duration::from_micros(1_000_000 / rate(algorithm.limit())));
        algorithm.record(Sample {
            ended_at: now,
            service_time: MS_10,
            answered: true,
            in_service: algorithm.limit(),
        });
    }
    algorithm.limit()
}

#[test]
fn limit_follows_the_rate_of_answers() {
    let mut algorithm = configured_limit(&LimitsConfig::default());
    let healthy = |limit| u64::from(limit) * 100;
    let overloaded = |limit| 900 / u64::from(limit);
    assert!(saturate(&mut *algorithm, Time::ZERO, 20, healthy) >= 7);
    assert!(saturate(&mut *algorithm, Time::from_secs(20), 20, overloaded) <= 3);
    assert!(saturate(&mut *algorithm, Time::from_secs(40), 20, healthy) >= 7);
}

#[derive(Debug, Clone)]
enum Op {
    Arrive { bulk: bool, millis: u64 },
    Finish { index: usize, outcome: u8 },
    Cancel { index: usize },
    Wait { millis: u64 },
    Drain,
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (any::<bool>(), 0..400_u64).prop_map(|(bulk, millis)| Op::Arrive { bulk, millis }),
        6 => (0..16_usize, 0..3_u8).prop_map(|(index, outcome)| Op::Finish { index, outcome }),
        1 => (0..16_usize).prop_map(|index| Op::Cancel { index }),
        3 => (0..60_u64).prop_map(|millis| Op::Wait { millis }),
        1 => Just(Op::Drain),
    ]
}

/// Decisions and requests in service, counted from the outputs alone.
#[derive(Default)]
struct Observer {
    arrived: BTreeSet<Ticket>,
    decisions: BTreeMap<Ticket, u32>,
    in_service: BTreeSet<Ticket>,
}

impl Observer {
    fn observe(&mut self, out: &[Output]) {
        for output in out {
            let ticket = match *output {
                Output::Start { ticket } => {
                    self.in_service.insert(ticket);
                    ticket
                }
                Output::Refuse { ticket, .. } => ticket,
            };
            *self.decisions.entry(ticket).or_default() += 1;
        }
    }
}

#[test]
fn bounds_hold_and_each_request_gets_one_decision() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(400), rng);
    let ops = prop::collection::vec(any_op(), 1..200);
    let run = |ops: Vec<Op>| {
        check_ops(&ops);
        Ok(())
    };
    runner.run(&ops, run).unwrap();
}

fn check_ops(ops: &[Op]) {
    let config = LimitsConfig {
        slots: 3,
        connections: 5,
        queue: 4,
        floor: 1,
        ..LimitsConfig::default()
    };
    let mut harness = Harness::with(config);
    let mut observer = Observer::default();
    for op in ops {
        let out = apply(&mut harness, &mut observer, op);
        observer.observe(&out);
        assert!(observer.in_service.len() <= 3);
        assert!(harness.admission.connections() <= 5);
        assert!(harness.admission.queued() <= 4);
        assert!(observer.decisions.values().all(|count| *count == 1));
    }
    harness.now = FAR_FUTURE;
    observer.observe(&harness.step(Input::Tick));
    assert!(observer.arrived.iter().all(|t| observer.decisions[t] == 1));
}

fn apply(harness: &mut Harness, observer: &mut Observer, op: &Op) -> Vec<Output> {
    match *op {
        Op::Arrive { bulk, millis } => {
            let class = if bulk { Class::Bulk } else { Class::Critical };
            let deadline = harness.now.after(Duration::from_millis(millis));
            let (ticket, out) = harness.arrive(class, deadline);
            observer.arrived.insert(ticket);
            out
        }
        Op::Finish { index, outcome } => {
            let Some(ticket) = observer.in_service.iter().nth(index).copied() else {
                return Vec::new();
            };
            observer.in_service.remove(&ticket);
            let outcomes = [Outcome::Answered, Outcome::Failed, Outcome::Abandoned];
            harness.finish(ticket, outcomes[usize::from(outcome)])
        }
        Op::Cancel { index } => match observer.arrived.iter().nth_back(index).copied() {
            Some(ticket) => harness.step(Input::Cancel { ticket }),
            None => Vec::new(),
        },
        Op::Wait { millis } => {
            harness.now = harness.now.after(Duration::from_millis(millis));
            harness.step(Input::Tick)
        }
        Op::Drain => harness.step(Input::Drain),
    }
}

struct ConfigCase {
    text: &'static str,
    error: &'static str,
}

#[test]
fn contradictory_settings_are_refused() {
    let cases = [
        ConfigCase {
            text: "[limits]\nslots = 0\n",
            error: "value \"0\" of key \"slots\" in section [limits]: must be at least 1",
        },
        ConfigCase {
            text: "[limits]\nslots = 8\nconnections = 7\n",
            error: "value \"7\" of key \"connections\" in section [limits]: \
                    must not be less than slots, 8",
        },
        ConfigCase {
            text: "[limits]\nslots = 4\nfloor = 5\n",
            error: "value \"5\" of key \"floor\" in section [limits]: \
                    must not be more than slots, 4",
        },
    ];
    for case in cases {
        let mut document = Document::parse(case.text.as_bytes()).unwrap();
        let refused = LimitsConfig::take(&mut document.take("limits")).unwrap_err();
        assert_eq!(refused.to_string(), case.error);
    }
    let mut document = Document::parse(b"[limits]\nslots = 1\nadapt = fixed\n").unwrap();
    let config = LimitsConfig::take(&mut document.take("limits")).unwrap();
    assert_eq!((config.floor, config.adapt), (1, AdaptKind::Fixed));
}
