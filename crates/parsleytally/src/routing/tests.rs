//! Tests of routing.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;
use crate::configs::RoutingConfig;
use crate::membership::Load;
use crate::types::{Incarnation, NodeName, RequestId, ServiceKey, Time};

const SLOTS: u32 = 8;
const CONNECTIONS: u32 = 64;

/// When slow start of endpoints offered at the beginning is over.
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

fn offer(worker: &str, zone: &str, life: u64) -> EndpointInfo {
    EndpointInfo {
        worker: name(worker),
        incarnation: Incarnation(life),
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

/// A router of zone `a` with its clock.
struct Bench {
    router: Router,
    rng: SmallRng,
    now: Time,
    out: Vec<Output>,
}

impl Bench {
    fn new(policy: Box<dyn Policy>) -> Self {
        let zone = "a".parse().unwrap();
        Self {
            router: Router::new(RoutingConfig::default(), zone, policy),
            rng: SmallRng::seed_from_u64(1),
            now: Time::ZERO,
            out: Vec::new(),
        }
    }

    /// Offers endpoints at the origin and moves past their slow start.
    fn warm(policy: Box<dyn Policy>, workers: &[(&str, &str)]) -> Self {
        let mut bench = Self::new(policy);
        for (worker, zone) in workers {
            bench.step(Input::Announced(offer(worker, zone, 1)));
        }
        bench.now = WARM;
        bench
    }

    fn step(&mut self, input: Input<'_>) {
        self.router
            .step(self.now, input, &mut self.rng, &mut self.out);
    }

    fn pick(&mut self) -> Result<Picked, NoEndpoint> {
        self.router.pick(self.now, &key(), &[], &mut self.rng)
    }

    /// Workers of the next `count` picks, none of which ends.
    fn fill(&mut self, count: u32) -> Vec<NodeName> {
        (0..count).map(|_| self.pick().unwrap().worker).collect()
    }

    fn done(&mut self, endpoint: EndpointId, outcome: Outcome) {
        self.step(Input::Done { endpoint, outcome });
    }

    /// Picks until each of `failing` is ejected or has failed often enough for it.
    fn fail(&mut self, failing: &[&str]) {
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
fn own_zone_is_filled_first_then_other_zones_then_connections() {
    for policy in policies() {
        let title = policy.name();
        let mut bench = Bench::warm(policy, &[("a1", "a"), ("b1", "b")]);
        let count =
            |picks: &[NodeName], worker| picks.iter().filter(|w| **w == name(worker)).count();
        let near = bench.fill(SLOTS);
        assert_eq!(count(&near, "a1"), SLOTS as usize, "{title}");
        let far = bench.fill(SLOTS);
        assert_eq!(count(&far, "b1"), SLOTS as usize, "{title}");
        let rest = bench.fill(2 * (CONNECTIONS - SLOTS));
        assert_eq!(count(&rest, "a1"), count(&rest, "b1"), "{title}");
        assert_eq!(bench.pick(), Err(NoEndpoint::NoCapacity), "{title}");
    }
}

struct RefusalCase {
    name: &'static str,
    change: fn(&mut Bench),
    reason: NoEndpoint,
}

#[test]
fn a_refusal_names_its_reason() {
    let cases = [
        RefusalCase {
            name: "unknown",
            change: |_| (),
            reason: NoEndpoint::Unknown,
        },
        RefusalCase {
            name: "withdrawn",
            change: |bench| {
                bench.step(Input::Announced(offer("a1", "a", 1)));
                bench.step(Input::Withdrawn {
                    worker: &name("a1"),
                });
            },
            reason: NoEndpoint::Unknown,
        },
        RefusalCase {
            name: "full by the reports of others",
            change: |bench| {
                bench.step(Input::Announced(offer("a1", "a", 1)));
                bench.step(Input::LoadReported {
                    worker: &name("a1"),
                    incarnation: Incarnation(1),
                    load: Load {
                        outstanding: CONNECTIONS,
                        yours: 0,
                    },
                });
            },
            reason: NoEndpoint::NoCapacity,
        },
    ];
    for case in cases {
        let mut bench = Bench::new(Box::new(TwoChoices));
        (case.change)(&mut bench);
        assert_eq!(bench.pick(), Err(case.reason), "{}", case.name);
    }
}

#[test]
fn a_withdrawn_endpoint_gets_nothing_new_and_keeps_its_count() {
    let mut bench = Bench::warm(Box::new(RoundRobin), &[("a1", "a"), ("a2", "a")]);
    bench.fill(8);
    bench.step(Input::Withdrawn {
        worker: &name("a1"),
    });
    assert!(bench.fill(4).iter().all(|worker| *worker == name("a2")));
    assert_eq!(bench.router.load(&name("a1")), Some(4));
    bench.step(Input::Announced(offer("a1", "a", 1)));
    assert_eq!(bench.router.load(&name("a1")), Some(4));
}

#[test]
fn an_end_from_an_earlier_life_changes_nothing() {
    let mut bench = Bench::warm(Box::new(RoundRobin), &[("a1", "a")]);
    let old = bench.pick().unwrap();
    bench.step(Input::Announced(offer("a1", "a", 2)));
    let new = bench.pick().unwrap();
    assert_eq!(new.incarnation, Incarnation(2));
    bench.done(old.endpoint, Outcome::Failed);
    assert_eq!(bench.router.load(&name("a1")), Some(1));
    bench.step(Input::LoadReported {
        worker: &name("a1"),
        incarnation: Incarnation(1),
        load: Load {
            outstanding: 9,
            yours: 0,
        },
    });
    assert_eq!(bench.router.load(&name("a1")), Some(1));
    bench.done(new.endpoint, Outcome::Abandoned);
    assert_eq!(bench.router.load(&name("a1")), Some(0));
}

#[test]
fn own_requests_are_not_counted_twice_by_a_report() {
    let mut bench = Bench::warm(Box::new(RoundRobin), &[("a1", "a")]);
    bench.fill(3);
    bench.step(Input::LoadReported {
        worker: &name("a1"),
        incarnation: Incarnation(1),
        load: Load {
            outstanding: 4,
            yours: 2,
        },
    });
    assert_eq!(bench.router.load(&name("a1")), Some(5));
}

#[test]
fn a_new_endpoint_opens_its_slots_little_by_little() {
    let mut bench = Bench::warm(Box::new(TwoChoices), &[("a1", "a")]);
    bench.step(Input::Announced(offer("a2", "a", 1)));
    let count = |bench: &mut Bench, picks| {
        let picks = bench.fill(picks);
        picks.iter().filter(|w| **w == name("a2")).count()
    };
    assert_eq!(count(&mut bench, SLOTS), 1);
    bench.now = WARM.after(RoutingConfig::default().slow_start / 2);
    assert_eq!(count(&mut bench, 4), 3);
}

#[test]
fn a_retry_avoids_its_endpoint_while_another_has_room() {
    for policy in policies() {
        let mut bench = Bench::warm(policy, &[("a1", "a"), ("b1", "b")]);
        let avoid = bench.pick().unwrap().endpoint;
        for input in [false, true] {
            bench.step(Input::Pick {
                request: RequestId(1),
                service: &key(),
                avoid: &[avoid],
            });
            let Some(Output::Picked { picked, .. }) = bench.out.pop() else {
                panic!("nothing was picked");
            };
            assert_eq!(picked.endpoint == avoid, input);
            bench.step(Input::Withdrawn {
                worker: &name("b1"),
            });
        }
    }
}

#[test]
fn a_failing_endpoint_is_ejected_for_a_while() {
    let zones = [("a1", "a"), ("a2", "a"), ("a3", "a"), ("a4", "a")];
    let mut bench = Bench::warm(Box::new(RoundRobin), &zones);
    bench.fail(&["a3"]);
    let until = WARM.after(RoutingConfig::default().ejection);
    let worker = name("a3");
    assert_eq!(bench.out, [Output::Ejected { worker, until }]);
    bench.now = until;
    assert!(bench.fill(4).contains(&name("a3")));
}

#[test]
fn only_a_share_of_endpoints_is_ejected_at_once() {
    let workers: Vec<String> = (0..11).map(|i| format!("a{i}")).collect();
    let offers: Vec<_> = workers.iter().map(|w| (w.as_str(), "a")).collect();
    let failing: Vec<_> = workers.iter().map(String::as_str).collect();
    for policy in policies() {
        let title = policy.name();
        let mut bench = Bench::warm(policy, &offers);
        bench.fail(&failing);
        let is_ejected = |bench: &Bench, w: &&str| bench.router.is_ejected(bench.now, &name(w));
        let ejected = |bench: &Bench| failing.iter().filter(|w| is_ejected(bench, w)).count();
        assert_eq!(ejected(&bench), 3, "{title}");
        let healthy = failing.iter().filter(|w| !is_ejected(&bench, w));
        for worker in healthy.take(5).collect::<Vec<_>>() {
            bench.step(Input::Withdrawn {
                worker: &name(worker),
            });
        }
        assert_eq!(ejected(&bench), 1, "{title}");
    }
}

#[test]
fn load_never_passes_the_bound_and_returns_to_zero() {
    for policy in policies() {
        let title = policy.name();
        let mut bench = Bench::warm(policy, &[("a1", "a"), ("a2", "a"), ("b1", "b")]);
        let mut running = Vec::new();
        while let Ok(picked) = bench.pick() {
            let load = bench.router.load(&picked.worker);
            assert!(load <= Some(CONNECTIONS), "{title}");
            running.push(picked.endpoint);
        }
        assert_eq!(running.len(), 3 * CONNECTIONS as usize, "{title}");
        for endpoint in running {
            bench.done(endpoint, Outcome::Abandoned);
        }
        for worker in ["a1", "a2", "b1"] {
            assert_eq!(bench.router.load(&name(worker)), Some(0), "{title}");
        }
    }
}
