//! Promises to callers while links go silent, agents die and endpoints leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::future::join_all;
use http::Method;

use crate::relay::Silence;
use crate::system::{Builder, System};

/// Callers that send at the same time.
const CALLERS: usize = 8;
/// Requests of each caller, half of them bookings.
const REQUESTS: usize = 30;
/// Requests after which the faults happen.
const BEFORE_FAULTS: usize = 60;

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The agent's connections go silent for good.
    Silent(usize, Silence),
    /// The agent dies.
    Die(usize),
    /// The agent's endpoint leaves.
    Leave(usize),
}

struct FaultCase {
    name: &'static str,
    faults: &'static [Fault],
    /// Whether every request that may be repeated must be answered.
    reads_survive: bool,
    /// Whether no outcome may be unknown.
    known: bool,
}

const CASES: [FaultCase; 8] = [
    FaultCase {
        name: "silent towards the entry",
        faults: &[Fault::Silent(0, Silence::ToEntry)],
        reads_survive: true,
        known: false,
    },
    FaultCase {
        name: "silent towards the agent",
        faults: &[Fault::Silent(0, Silence::ToAgent)],
        reads_survive: true,
        known: false,
    },
    FaultCase {
        name: "silent both ways",
        faults: &[Fault::Silent(0, Silence::Both)],
        reads_survive: true,
        known: false,
    },
    FaultCase {
        name: "an agent dies",
        faults: &[Fault::Die(0)],
        reads_survive: true,
        known: false,
    },
    FaultCase {
        name: "an endpoint leaves",
        faults: &[Fault::Leave(0)],
        reads_survive: true,
        known: true,
    },
    FaultCase {
        name: "a link goes silent and another agent dies",
        faults: &[Fault::Silent(0, Silence::Both), Fault::Die(1)],
        reads_survive: true,
        known: false,
    },
    FaultCase {
        name: "an endpoint leaves while its link is silent",
        faults: &[Fault::Silent(0, Silence::ToEntry), Fault::Leave(0)],
        reads_survive: true,
        known: false,
    },
    FaultCase {
        name: "an endpoint leaves and another agent dies",
        faults: &[Fault::Leave(0), Fault::Die(1)],
        reads_survive: true,
        known: false,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn answers_and_refusals_are_true_under_faults() {
    let runs = CASES.map(|case| tokio::spawn(run(case)));
    for run in runs {
        run.await.unwrap();
    }
}

async fn run(case: FaultCase) {
    let builder = Builder {
        agents: 3,
        relays: true,
        ..Builder::default()
    };
    let mut system = builder.start().await;
    let mut agents: Vec<_> = system.agents.drain(..).map(Some).collect();
    let system = Arc::new(system);
    let done = Arc::new(AtomicUsize::new(0));
    let callers = (0..CALLERS).map(|n| tokio::spawn(call_all(n, system.clone(), done.clone())));
    let callers = join_all(callers.collect::<Vec<_>>());
    let faults = async {
        while done.load(Ordering::SeqCst) < BEFORE_FAULTS {
            tokio::task::yield_now().await;
        }
        let mut leaving = Vec::new();
        for fault in case.faults {
            match fault {
                Fault::Silent(agent, silence) => system.relays[*agent].silence(*silence),
                Fault::Die(agent) => drop(agents[*agent].take()),
                Fault::Leave(agent) => leaving.extend(agents[*agent].take()),
            }
        }
        join_all(leaving.into_iter().map(parsleytally_agent::Agent::close)).await;
    };
    let (callers, ()) = tokio::join!(callers, faults);
    for caller in callers {
        let seen = caller.unwrap();
        check(&case, &system, &seen);
    }
    let after = join_all((0..CALLERS).map(|n| read(&system, format!("after-{n}")))).await;
    assert!(after.iter().all(|seen| seen.status == 200), "{}", case.name);
}

/// One request and what its caller was told.
#[derive(Debug)]
struct Seen {
    booking: bool,
    token: String,
    status: u16,
    outcome: String,
    body: String,
}

async fn call_all(caller: usize, system: Arc<System>, done: Arc<AtomicUsize>) -> Vec<Seen> {
    let mut all = Vec::new();
    for n in 0..REQUESTS {
        let token = format!("t-{caller}-{n}");
        all.push(if n % 2 == 0 {
            read(&system, token).await
        } else {
            book(&system, token).await
        });
        done.fetch_add(1, Ordering::SeqCst);
    }
    all
}

async fn read(system: &System, token: String) -> Seen {
    let path = format!("/demo/echo/sleep/10?{token}");
    send(system, Method::GET, &path, token).await
}

async fn book(system: &System, token: String) -> Seen {
    let path = format!("/demo/echo/book/{token}");
    send(system, Method::POST, &path, token).await
}

async fn send(system: &System, method: Method, path: &str, token: String) -> Seen {
    let reply = system.call(0, method.clone(), path, &[], &token).await;
    let (status, outcome) = reply.verdict();
    Seen {
        booking: method == Method::POST,
        outcome: outcome.to_owned(),
        status,
        token,
        body: reply.body,
    }
}

fn check(case: &FaultCase, system: &System, all: &[Seen]) {
    for seen in all {
        let name = case.name;
        let booked = system.sample.booked(&seen.token);
        match (seen.status, seen.outcome.as_str()) {
            (200, "") if seen.booking => assert_eq!(booked, 1, "{name}: {seen:?}"),
            (200, "") => assert!(seen.body.contains(&seen.token), "{name}: {seen:?}"),
            (_, "not-run") => assert_eq!(booked, 0, "{name}: {seen:?}"),
            (_, "unknown") => assert!(booked <= 1, "{name}: {seen:?}"),
            _ => panic!("{name}: {seen:?}"),
        }
        let survives = seen.booking || seen.status == 200;
        assert!(survives || !case.reads_survive, "{name}: {seen:?}");
        assert!(seen.outcome != "unknown" || !case.known, "{name}: {seen:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_stops_finishes_what_is_in_flight() {
    let mut system = Builder::default().start().await;
    let entry = system.entries.remove(0);
    let client = volo_http::client::Client::builder().build().unwrap();
    let uri = format!("http://{}/demo/echo/sleep/1000", entry.callers());
    let request = tokio::spawn(client.get(uri).send::<volo_http::body::Body>());
    system
        .until_metric(0, "parsleytally_agent_busy_requests", 1)
        .await;
    entry.close().await;
    let response = request.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
}
