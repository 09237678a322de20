//! Checks the outcomes reported to callers while links go silent, agents die and endpoints
//! leave.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use futures::future::join_all;
use http::Method;

use crate::relay::Silence;
use crate::system::{Builder, System};

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Requests of each caller, half of them bookings (`POST`) and half reads (`GET`).
const REQUESTS_PER_CALLER: usize = 30;
/// Number of finished requests after which the faults are injected.
const REQUESTS_BEFORE_FAULTS: usize = 60;

#[derive(Debug, Clone, Copy)]
enum Fault {
    /// The agent's open connections go silent and stay so.
    Silent(usize, Silence),
    /// The agent is dropped without closing.
    Die(usize),
    /// The agent is closed, so that its endpoint leaves.
    Leave(usize),
}

struct FaultCase {
    name: &'static str,
    faults: &'static [Fault],
    /// Whether every idempotent request must succeed.
    reads_survive: bool,
    /// Whether every outcome must be known.
    outcomes_known: bool,
}

const CASES: [FaultCase; 8] = [
    FaultCase {
        name: "silent towards the entry",
        faults: &[Fault::Silent(0, Silence::ToEntry)],
        reads_survive: true,
        outcomes_known: false,
    },
    FaultCase {
        name: "silent towards the agent",
        faults: &[Fault::Silent(0, Silence::ToAgent)],
        reads_survive: true,
        outcomes_known: false,
    },
    FaultCase {
        name: "silent both ways",
        faults: &[Fault::Silent(0, Silence::Both)],
        reads_survive: true,
        outcomes_known: false,
    },
    FaultCase {
        name: "an agent dies",
        faults: &[Fault::Die(0)],
        reads_survive: true,
        outcomes_known: false,
    },
    FaultCase {
        name: "an endpoint leaves",
        faults: &[Fault::Leave(0)],
        reads_survive: true,
        outcomes_known: true,
    },
    FaultCase {
        name: "a link goes silent and another agent dies",
        faults: &[Fault::Silent(0, Silence::Both), Fault::Die(1)],
        reads_survive: true,
        outcomes_known: false,
    },
    FaultCase {
        name: "an endpoint leaves while its link is silent",
        faults: &[Fault::Silent(0, Silence::ToEntry), Fault::Leave(0)],
        reads_survive: true,
        outcomes_known: false,
    },
    FaultCase {
        name: "an endpoint leaves and another agent dies",
        faults: &[Fault::Leave(0), Fault::Die(1)],
        reads_survive: true,
        outcomes_known: false,
    },
];

#[tokio::test(flavor = "multi_thread")]
async fn reported_outcomes_are_correct_under_faults() {
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
    let callers =
        (0..CALLERS).map(|n| tokio::spawn(send_requests(n, system.clone(), done.clone())));
    let callers = join_all(callers.collect::<Vec<_>>());
    let faults = async {
        while done.load(Ordering::SeqCst) < REQUESTS_BEFORE_FAULTS {
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
        let observed = caller.unwrap();
        check(&case, &system, &observed);
    }
    let after = join_all((0..CALLERS).map(|n| read(&system, format!("after-{n}")))).await;
    assert!(
        after.iter().all(|observed| observed.status == 200),
        "{}",
        case.name
    );
}

/// One request and the answer its caller received.
#[derive(Debug)]
struct Observed {
    booking: bool,
    token: String,
    status: u16,
    outcome: String,
    body: String,
}

async fn send_requests(
    caller: usize,
    system: Arc<System>,
    done: Arc<AtomicUsize>,
) -> Vec<Observed> {
    let mut all = Vec::new();
    for n in 0..REQUESTS_PER_CALLER {
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

async fn read(system: &System, token: String) -> Observed {
    let path = format!("/demo/echo/sleep/10?{token}");
    send(system, Method::GET, &path, token).await
}

async fn book(system: &System, token: String) -> Observed {
    let path = format!("/demo/echo/book/{token}");
    send(system, Method::POST, &path, token).await
}

async fn send(system: &System, method: Method, path: &str, token: String) -> Observed {
    let reply = system.call(0, method.clone(), path, &[], &token).await;
    let (status, outcome) = reply.status_and_outcome();
    Observed {
        booking: method == Method::POST,
        outcome: outcome.to_owned(),
        status,
        token,
        body: reply.body,
    }
}

fn check(case: &FaultCase, system: &System, all: &[Observed]) {
    for observed in all {
        let name = case.name;
        let booked = system.sample.booked(&observed.token);
        match (observed.status, observed.outcome.as_str()) {
            (200, "") if observed.booking => assert_eq!(booked, 1, "{name}: {observed:?}"),
            (200, "") => assert!(
                observed.body.contains(&observed.token),
                "{name}: {observed:?}"
            ),
            (_, "not-run") => assert_eq!(booked, 0, "{name}: {observed:?}"),
            (_, "unknown") => assert!(booked <= 1, "{name}: {observed:?}"),
            _ => panic!("{name}: {observed:?}"),
        }
        let survives = observed.booking || observed.status == 200;
        assert!(survives || !case.reads_survive, "{name}: {observed:?}");
        assert!(
            observed.outcome != "unknown" || !case.outcomes_known,
            "{name}: {observed:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_entry_finishes_requests_in_flight() {
    let mut system = Builder::default().start().await;
    let entry = system.entries.remove(0);
    let client = volo_http::client::Client::builder().build().unwrap();
    let uri = format!("http://{}/demo/echo/sleep/1000", entry.callers());
    let request = tokio::spawn(client.get(uri).send::<volo_http::body::Body>());
    system
        .wait_for_metric(0, "parsleytally_agent_busy_requests", 1)
        .await;
    entry.close().await;
    let response = request.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
}
