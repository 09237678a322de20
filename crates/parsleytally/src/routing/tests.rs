//! Tests of the router and its policies.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::configs::RoutingConfig;
use crate::membership::Load;
use crate::types::{Incarnation, NodeName, RequestId, ServiceKey, Time};

const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

/// When slow start is over for endpoints announced at time zero.
const WARM: Time = Time::from_secs(100);

fn name(text: &str) -> NodeName {
    text.parse().unwrap()
}

fn key() -> ServiceKey {
    ServiceKey {
        team: "demo".parse().unwrap(),
        service: "echo".parse().unwrap(),
    }
}

fn endpoint(worker: &str, zone: &str, incarnation: u64) -> EndpointInfo {
    EndpointInfo {
        worker: name(worker),
        incarnation: Incarnation(incarnation),
        service: key(),
        zone: zone.parse().unwrap(),
        slots: SLOTS,
        connections: CONNECTIONS,
    }
}

fn policies() -> [Box<dyn Policy>; 4] {
    [
        Box::new(RoundRobin),
        Box::new(TwoChoices),
        Box::new(LatencyTwoChoices),
        Box::new(JoinIdleQueue),
    ]
}

/// A router in zone `a` with a manual clock.
struct Harness {
    router: Router,
    rng: SmallRng,
    now: Time,
    out: Vec<Output>,
}

impl Harness {
    fn new(policy: Box<dyn Policy>) -> Self {
        let zone = "a".parse().unwrap();
        Self {
            router: Router::new(RoutingConfig::default(), zone, policy),
            rng: SmallRng::seed_from_u64(1),
            now: Time::ZERO,
            out: Vec::new(),
        }
    }

    /// Announces endpoints at time zero and advances the clock past their slow start.
    fn warm(policy: Box<dyn Policy>, workers: &[(&str, &str)]) -> Self {
        let mut harness = Self::new(policy);
        for (worker, zone) in workers {
            harness.step(Input::Announced(endpoint(worker, zone, 1)));
        }
        harness.now = WARM;
        harness
    }

    fn step(&mut self, input: Input<'_>) {
        self.router
            .step(self.now, input, &mut self.rng, &mut self.out);
    }

    fn pick(&mut self) -> Result<Picked, NoEndpoint> {
        self.router.pick(self.now, &key(), &[], &mut self.rng)
    }

    /// Workers of the next `count` picks, whose requests stay outstanding.
    fn pick_workers(&mut self, count: u32) -> Vec<NodeName> {
        (0..count).map(|_| self.pick().unwrap().worker).collect()
    }

    fn done(&mut self, endpoint: EndpointId, outcome: Outcome) {
        self.step(Input::Done { endpoint, outcome });
    }

    /// Runs requests and fails those to `failing`, often enough to eject each of them.
    fn fail_requests_to(&mut self, failing: &[&str]) {
        for _ in 0..400 {
            let picked = self.pick().unwrap();
            let fails = failing.contains(&picked.worker.as_str());
            let outcome = if fails {
                Outcome::Failed
            } else {
                Outcome::Answered(Duration::from_millis(5))
            };
            self.done(picked.endpoint, outcome);
        }
    }
}

#[test]
fn picks_fill_slots_of_own_zone_then_other_zones_then_connections() {
    for policy in policies() {
        let policy_name = policy.name();
        let mut harness = Harness::warm(policy, &[("a1", "a"), ("b1", "b")]);
        let count =
            |picks: &[NodeName], worker| picks.iter().filter(|w| **w == name(worker)).count();
        let local = harness.pick_workers(SLOTS);
        assert_eq!(count(&local, "a1"), SLOTS as usize, "{policy_name}");
        let remote = harness.pick_workers(SLOTS);
        assert_eq!(count(&remote, "b1"), SLOTS as usize, "{policy_name}");
        let by_connections = harness.pick_workers(2 * (CONNECTIONS - SLOTS));
        assert_eq!(
            count(&by_connections, "a1"),
            count(&by_connections, "b1"),
            "{policy_name}"
        );
        assert_eq!(harness.pick(), Err(NoEndpoint::NoCapacity), "{policy_name}");
    }
}

struct RefusalCase {
    name: &'static str,
    setup: fn(&mut Harness),
    reason: NoEndpoint,
}

#[test]
fn refusal_distinguishes_unknown_service_from_no_capacity() {
    let cases = [
        RefusalCase {
            name: "unknown",
            setup: |_| (),
            reason: NoEndpoint::Unknown,
        },
        RefusalCase {
            name: "withdrawn",
            setup: |harness| {
                harness.step(Input::Announced(endpoint("a1", "a", 1)));
                harness.step(Input::Withdrawn {
                    worker: &name("a1"),
                });
            },
            reason: NoEndpoint::Unknown,
        },
        RefusalCase {
            name: "full by reported requests of others",
            setup: |harness| {
                harness.step(Input::Announced(endpoint("a1", "a", 1)));
                harness.step(Input::LoadReported {
                    worker: &name("a1"),
                    incarnation: Incarnation(1),
                    load: Load {
                        outstanding: CONNECTIONS,
                        from_receiver: 0,
                    },
                });
            },
            reason: NoEndpoint::NoCapacity,
        },
    ];
    for case in cases {
        let mut harness = Harness::new(Box::new(TwoChoices));
        (case.setup)(&mut harness);
        assert_eq!(harness.pick(), Err(case.reason), "{}", case.name);
    }
}

#[test]
fn withdrawn_endpoint_gets_no_new_requests_and_keeps_its_load() {
    let mut harness = Harness::warm(Box::new(RoundRobin), &[("a1", "a"), ("a2", "a")]);
    harness.pick_workers(8);
    harness.step(Input::Withdrawn {
        worker: &name("a1"),
    });
    assert!(
        harness
            .pick_workers(4)
            .iter()
            .all(|worker| *worker == name("a2"))
    );
    assert_eq!(harness.router.load(&name("a1")), Some(4));
    harness.step(Input::Announced(endpoint("a1", "a", 1)));
    assert_eq!(harness.router.load(&name("a1")), Some(4));
}

#[test]
fn events_of_an_earlier_incarnation_are_ignored() {
    let mut harness = Harness::warm(Box::new(RoundRobin), &[("a1", "a")]);
    let old = harness.pick().unwrap();
    harness.step(Input::Announced(endpoint("a1", "a", 2)));
    let new = harness.pick().unwrap();
    assert_eq!(new.incarnation, Incarnation(2));
    harness.done(old.endpoint, Outcome::Failed);
    assert_eq!(harness.router.load(&name("a1")), Some(1));
    harness.step(Input::LoadReported {
        worker: &name("a1"),
        incarnation: Incarnation(1),
        load: Load {
            outstanding: 9,
            from_receiver: 0,
        },
    });
    assert_eq!(harness.router.load(&name("a1")), Some(1));
    harness.done(new.endpoint, Outcome::Abandoned);
    assert_eq!(harness.router.load(&name("a1")), Some(0));
}

#[test]
fn load_report_does_not_count_own_requests_twice() {
    let mut harness = Harness::warm(Box::new(RoundRobin), &[("a1", "a")]);
    harness.pick_workers(3);
    harness.step(Input::LoadReported {
        worker: &name("a1"),
        incarnation: Incarnation(1),
        load: Load {
            outstanding: 4,
            from_receiver: 2,
        },
    });
    assert_eq!(harness.router.load(&name("a1")), Some(5));
}

#[test]
fn slow_start_limits_the_slots_of_a_new_endpoint() {
    let mut harness = Harness::warm(Box::new(TwoChoices), &[("a1", "a")]);
    harness.step(Input::Announced(endpoint("a2", "a", 1)));
    let count = |harness: &mut Harness, picks| {
        let picks = harness.pick_workers(picks);
        picks.iter().filter(|w| **w == name("a2")).count()
    };
    assert_eq!(count(&mut harness, SLOTS), 1);
    harness.now = WARM.after(RoutingConfig::default().slow_start / 2);
    assert_eq!(count(&mut harness, 4), 3);
}

#[test]
fn retry_avoids_its_endpoint_while_another_has_capacity() {
    for policy in policies() {
        let mut harness = Harness::warm(policy, &[("a1", "a"), ("b1", "b")]);
        let avoid = harness.pick().unwrap().endpoint;
        for avoided_is_picked in [false, true] {
            harness.step(Input::Pick {
                request: RequestId(1),
                service: &key(),
                avoid: &[avoid],
            });
            let Some(Output::Picked { picked, .. }) = harness.out.pop() else {
                panic!("no endpoint was picked");
            };
            assert_eq!(picked.endpoint == avoid, avoided_is_picked);
            harness.step(Input::Withdrawn {
                worker: &name("b1"),
            });
        }
    }
}

#[test]
fn failing_endpoint_is_ejected_until_its_time_ends() {
    let endpoints = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("a4", "a")];
    let mut harness = Harness::warm(Box::new(RoundRobin), &endpoints);
    harness.fail_requests_to(&["a3"]);
    let until = WARM.after(RoutingConfig::default().ejection);
    let worker = name("a3");
    assert_eq!(harness.out, [Output::Ejected { worker, until }]);
    harness.now = until;
    assert!(harness.pick_workers(4).contains(&name("a3")));
}

#[test]
fn ejections_are_limited_to_a_share_of_the_service() {
    let workers: Vec<String> = (0..11).map(|i| format!("a{i}")).collect();
    let endpoints: Vec<_> = workers.iter().map(|w| (w.as_str(), "a")).collect();
    let failing: Vec<_> = workers.iter().map(String::as_str).collect();
    for policy in policies() {
        let policy_name = policy.name();
        let mut harness = Harness::warm(policy, &endpoints);
        harness.fail_requests_to(&failing);
        let is_ejected =
            |harness: &Harness, w: &&str| harness.router.is_ejected(harness.now, &name(w));
        let ejected = |harness: &Harness| failing.iter().filter(|w| is_ejected(harness, w)).count();
        assert_eq!(ejected(&harness), 3, "{policy_name}");
        let healthy = failing.iter().filter(|w| !is_ejected(&harness, w));
        for worker in healthy.take(5).collect::<Vec<_>>() {
            harness.step(Input::Withdrawn {
                worker: &name(worker),
            });
        }
        assert_eq!(ejected(&harness), 1, "{policy_name}");
    }
}

#[test]
fn load_stays_within_connections_and_returns_to_zero() {
    for policy in policies() {
        let policy_name = policy.name();
        let mut harness = Harness::warm(policy, &[("a1", "a"), ("a2", "a"), ("b1", "b")]);
        let mut running = Vec::new();
        while let Ok(picked) = harness.pick() {
            let load = harness.router.load(&picked.worker);
            assert!(load <= Some(CONNECTIONS), "{policy_name}");
            running.push(picked.endpoint);
        }
        assert_eq!(running.len(), 3 * CONNECTIONS as usize, "{policy_name}");
        for endpoint in running {
            harness.done(endpoint, Outcome::Abandoned);
        }
        for worker in ["a1", "a2", "b1"] {
            assert_eq!(harness.router.load(&name(worker)), Some(0), "{policy_name}");
        }
    }
}
