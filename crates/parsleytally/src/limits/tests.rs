//! Tests of the admission.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use super::*;
use crate::configs::{AdaptKind, Document};

const FAR: Time = Time::from_secs(3_600);
const MS_10: Duration = Duration::from_millis(10);

/// Drives one admission and remembers its outputs.
struct Driver {
    limits: AdmissionControl,
    now: Time,
    next: u64,
}

impl Driver {
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
            limits: AdmissionControl::new(config),
            now: Time::ZERO,
            next: 0,
        }
    }

    fn step(&mut self, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.limits.step(self.now, input, &mut out);
        out
    }

    fn arrive(&mut self, class: Class, deadline: Time) -> (Ticket, Vec<Output>) {
        let ticket = Ticket(self.next);
        self.next += 1;
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

    /// Runs requests of `spent` one after the other, so that the estimates are known.
    fn learn(&mut self, spent: Duration) {
        for _ in 0..32 {
            let (ticket, _) = self.arrive(Class::Critical, FAR);
            self.now = self.now.after(spent);
            self.finish(ticket, Outcome::Answered);
        }
    }
}

fn reasons(out: &[Output]) -> Vec<(Ticket, RefusalReason)> {
    let reason = |output: &Output| match output {
        Output::Refuse { ticket, reason, .. } => Some((*ticket, *reason)),
        Output::Start { .. } => None,
    };
    out.iter().filter_map(reason).collect()
}

#[test]
fn the_queue_is_bounded_and_keeps_critical_requests() {
    let mut driver = Driver::new(1, 2);
    let (_, out) = driver.arrive(Class::Bulk, FAR);
    assert_eq!(out, [Output::Start { ticket: Ticket(0) }]);
    driver.arrive(Class::Bulk, FAR);
    driver.arrive(Class::Bulk, FAR);

    let (bulk, out) = driver.arrive(Class::Bulk, FAR);
    assert_eq!(reasons(&out), [(bulk, RefusalReason::QueueFull)]);
    let (critical, out) = driver.arrive(Class::Critical, FAR);
    assert_eq!(reasons(&out), [(Ticket(2), RefusalReason::Displaced)]);
    driver.arrive(Class::Critical, FAR);
    let (third, out) = driver.arrive(Class::Critical, FAR);
    assert_eq!(reasons(&out), [(third, RefusalReason::QueueFull)]);
    let out = driver.finish(Ticket(0), Outcome::Answered);
    assert_eq!(out, [Output::Start { ticket: critical }]);
}

struct LateCase {
    name: &'static str,
    waiting: usize,
    deadline: Duration,
    refused: Option<RefusalReason>,
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_on_arrival() {
    let cases = [
        LateCase {
            name: "reached by the queue's end",
            waiting: 3,
            deadline: Duration::from_millis(60),
            refused: None,
        },
        LateCase {
            name: "not reached by the queue's end",
            waiting: 3,
            deadline: Duration::from_millis(40),
            refused: Some(RefusalReason::DeadlineTooClose),
        },
        LateCase {
            name: "passed already",
            waiting: 0,
            deadline: Duration::ZERO,
            refused: Some(RefusalReason::Expired),
        },
    ];
    for case in cases {
        let mut driver = Driver::new(1, 10);
        driver.learn(MS_10);
        for _ in 0..=case.waiting {
            driver.arrive(Class::Critical, FAR);
        }
        let (ticket, out) = driver.arrive(Class::Critical, driver.now.after(case.deadline));
        let expected: Vec<_> = case.refused.map(|r| (ticket, r)).into_iter().collect();
        assert_eq!(reasons(&out), expected, "{}", case.name);
    }
}

#[test]
fn an_idle_endpoint_is_tried_although_the_estimate_says_late() {
    let mut driver = Driver::new(8, 8);
    driver.learn(Duration::from_secs(10));
    let deadline = driver.now.after(MS_10);
    let (ticket, out) = driver.arrive(Class::Critical, deadline);
    assert_eq!(out, [Output::Start { ticket }]);
    let (ticket, out) = driver.arrive(Class::Critical, deadline);
    assert_eq!(reasons(&out), [(ticket, RefusalReason::DeadlineTooClose)]);
}

#[test]
fn a_deadline_that_passes_in_the_queue_is_refused_by_the_next_wake() {
    let mut driver = Driver::new(1, 2);
    driver.arrive(Class::Critical, FAR);
    let deadline = Time::from_millis(30);
    let (waiting, _) = driver.arrive(Class::Critical, deadline);
    assert_eq!(driver.limits.next_wake(), Some(deadline));
    driver.now = deadline;
    let out = driver.step(Input::Tick);
    assert_eq!(reasons(&out), [(waiting, RefusalReason::Expired)]);
    assert_eq!(driver.finish(Ticket(0), Outcome::Answered), []);
}

#[test]
fn a_leaving_endpoint_finishes_what_it_holds_and_admits_nothing() {
    let mut driver = Driver::new(1, 4);
    driver.arrive(Class::Critical, FAR);
    let (second, _) = driver.arrive(Class::Critical, FAR);
    let (third, _) = driver.arrive(Class::Critical, FAR);
    assert_eq!(driver.step(Input::Drain), []);

    let (late, out) = driver.arrive(Class::Critical, FAR);
    assert_eq!(reasons(&out), [(late, RefusalReason::Draining)]);
    let out = driver.finish(Ticket(0), Outcome::Answered);
    assert_eq!(out, [Output::Start { ticket: second }]);
    driver.now = driver.limits.next_wake().unwrap();
    assert_eq!(
        reasons(&driver.step(Input::Tick)),
        [(third, RefusalReason::Draining)]
    );
    driver.finish(second, Outcome::Answered);
    assert!(driver.limits.is_idle());
}

#[test]
fn abandoned_requests_count_as_connections_until_they_have_lingered() {
    let config = LimitsConfig {
        slots: 1,
        connections: 2,
        ..LimitsConfig::default()
    };
    let linger = config.linger;
    let mut driver = Driver::with(config);
    for _ in 0..2 {
        let (ticket, out) = driver.arrive(Class::Critical, FAR);
        assert_eq!(out, [Output::Start { ticket }]);
        driver.finish(ticket, Outcome::Abandoned);
    }
    let (waiting, out) = driver.arrive(Class::Critical, FAR);
    assert_eq!(out, []);
    driver.now = driver.limits.next_wake().unwrap();
    assert_eq!(driver.now, Time::ZERO.after(linger));
    let out = driver.step(Input::Tick);
    assert_eq!(out, [Output::Start { ticket: waiting }]);
}

/// Feeds `seconds` of a saturated endpoint that answers `rate(limit)` requests a second.
fn saturate(way: &mut dyn ConcurrencyLimit, from: Time, seconds: u64, rate: fn(u32) -> u64) -> u32 {
    let mut at = from;
    while at < from.after(Duration::from_secs(seconds)) {
        at = at.after(Duration::from_micros(1_000_000 / rate(way.limit())));
        way.record(Sample {
            ended_at: at,
            service_time: MS_10,
            answered: true,
            in_service: way.limit(),
        });
    }
    way.limit()
}

#[test]
fn the_limit_follows_the_answers_per_second() {
    let mut way = configured_limit(&LimitsConfig::default());
    let healthy = |limit| u64::from(limit) * 100;
    let contended = |limit| 900 / u64::from(limit);
    assert!(saturate(&mut *way, Time::ZERO, 20, healthy) >= 7);
    assert!(saturate(&mut *way, Time::from_secs(20), 20, contended) <= 3);
    assert!(saturate(&mut *way, Time::from_secs(40), 20, healthy) >= 7);
}

#[derive(Debug, Clone)]
enum Op {
    Arrive { bulk: bool, millis: u64 },
    Finish { index: usize, end: u8 },
    Cancel { index: usize },
    Wait { millis: u64 },
    Leave,
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        8 => (any::<bool>(), 0..400_u64).prop_map(|(bulk, millis)| Op::Arrive { bulk, millis }),
        6 => (0..16_usize, 0..3_u8).prop_map(|(index, end)| Op::Finish { index, end }),
        1 => (0..16_usize).prop_map(|index| Op::Cancel { index }),
        3 => (0..60_u64).prop_map(|millis| Op::Wait { millis }),
        1 => Just(Op::Leave),
    ]
}

/// Verdicts given and requests in service, as an outside observer counts them.
#[derive(Default)]
struct Books {
    arrived: BTreeSet<Ticket>,
    verdicts: BTreeMap<Ticket, u32>,
    running: BTreeSet<Ticket>,
}

impl Books {
    fn enter(&mut self, out: &[Output]) {
        for output in out {
            let ticket = match *output {
                Output::Start { ticket } => {
                    self.running.insert(ticket);
                    ticket
                }
                Output::Refuse { ticket, .. } => ticket,
            };
            *self.verdicts.entry(ticket).or_default() += 1;
        }
    }
}

#[test]
fn bounds_hold_and_each_request_gets_one_verdict() {
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
    let mut driver = Driver::with(config);
    let mut books = Books::default();
    for op in ops {
        let out = apply(&mut driver, &mut books, op);
        books.enter(&out);
        assert!(books.running.len() <= 3);
        assert!(driver.limits.connections() <= 5);
        assert!(driver.limits.queued() <= 4);
        assert!(books.verdicts.values().all(|count| *count == 1));
    }
    driver.now = FAR;
    books.enter(&driver.step(Input::Tick));
    assert!(books.arrived.iter().all(|t| books.verdicts[t] == 1));
}

fn apply(driver: &mut Driver, books: &mut Books, op: &Op) -> Vec<Output> {
    match *op {
        Op::Arrive { bulk, millis } => {
            let class = if bulk { Class::Bulk } else { Class::Critical };
            let deadline = driver.now.after(Duration::from_millis(millis));
            let (ticket, out) = driver.arrive(class, deadline);
            books.arrived.insert(ticket);
            out
        }
        Op::Finish { index, end } => {
            let Some(ticket) = books.running.iter().nth(index).copied() else {
                return Vec::new();
            };
            books.running.remove(&ticket);
            let ends = [Outcome::Answered, Outcome::Failed, Outcome::Abandoned];
            driver.finish(ticket, ends[usize::from(end)])
        }
        Op::Cancel { index } => match books.arrived.iter().nth_back(index).copied() {
            Some(ticket) => driver.step(Input::Cancel { ticket }),
            None => Vec::new(),
        },
        Op::Wait { millis } => {
            driver.now = driver.now.after(Duration::from_millis(millis));
            driver.step(Input::Tick)
        }
        Op::Leave => driver.step(Input::Drain),
    }
}

struct ConfigCase {
    text: &'static str,
    error: &'static str,
}

#[test]
fn settings_that_contradict_each_other_are_refused() {
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
