//! Refusals, retries and idempotency keys, tested over loopback sockets.

mod broken;
mod faults;
mod garbage;
mod relay;
mod system;

use http::Method;
use system::{Builder, Endpoint};

const SHORT_TIMEOUT: (&str, &str) = ("parsleytally-timeout", "300ms");

#[tokio::test(flavor = "multi_thread")]
async fn a_key_runs_once_through_two_entries_and_two_agents() {
    let system = Builder {
        entries: 2,
        agents: 2,
        ..Builder::default()
    };
    let system = system.start().await;
    for n in 0..40 {
        let key = format!("key-{n}");
        let path = format!("/demo/echo/book/pew-{n}");
        let headers = [("idempotency-key", key.as_str())];
        let book = |entry| system.call(entry, Method::POST, &path, &headers, "x");
        let (one, two, three) = tokio::join!(book(0), book(1), book(n % 2));
        let again = book(1).await;
        for reply in [&two, &three, &again] {
            assert_eq!((reply.status, &reply.body), (one.status, &one.body));
        }
        assert_eq!(one.status, 200, "{}", one.body);
        assert_eq!(system.sample.booked(&format!("pew-{n}")), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_a_conflict() {
    let system = Builder::default().start().await;
    let headers = [("idempotency-key", "k")];
    let path = "/demo/echo/book/pew";
    let first = system.call(0, Method::POST, path, &headers, "one").await;
    assert_eq!(first.status, 200);
    let other = system.call(0, Method::POST, path, &headers, "two").await;
    assert_eq!(other.status_and_outcome(), (409, "not-run"));
    assert_eq!(system.sample.booked("pew"), 1);
    let long = "k".repeat(256);
    let headers = [("idempotency-key", long.as_str())];
    let refused = system.call(0, Method::POST, path, &headers, "one").await;
    assert_eq!(refused.status_and_outcome(), (400, "not-run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_hanging_endpoint_makes_the_outcome_unknown_and_keeps_the_key() {
    let system = Builder::default().start().await;
    let headers = [("idempotency-key", "k"), SHORT_TIMEOUT];
    let path = "/demo/echo/sleep/600000";
    let first = system.call(0, Method::POST, path, &headers, "").await;
    assert_eq!(first.status_and_outcome(), (504, "unknown"));
    assert!(first.headers.contains_key("retry-after"));
    let repeated = system.call(0, Method::POST, path, &headers[..1], "").await;
    assert_eq!(repeated.status_and_outcome(), (409, "unknown"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_expires_in_the_queue_is_not_run() {
    let system = Builder {
        limits: "slots = 1\n",
        ..Builder::default()
    };
    let system = system.start().await;
    let hanging = system.call(0, Method::POST, "/demo/echo/sleep/600000", &[], "");
    let queued = async {
        system
            .wait_for_metric(0, "parsleytally_agent_busy_requests", 1)
            .await;
        let path = "/demo/echo/book/pew";
        let limit = [("parsleytally-timeout", "3s")];
        system.call(0, Method::POST, path, &limit, "").await
    };
    let reply = tokio::select! {
        reply = queued => reply,
        reply = hanging => panic!("{:?}", reply.status_and_outcome()),
    };
    assert_eq!(reply.status_and_outcome(), (503, "not-run"));
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(system.sample.booked("pew"), 0);
}

struct BrokenCase {
    path: &'static str,
    method: Method,
    attempts: u64,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_answer_is_never_a_success_and_a_post_is_sent_once() {
    let system = Builder {
        endpoint: Endpoint::Broken,
        ..Builder::default()
    };
    let system = system.start().await;
    let paths = [
        "/demo/echo/close",
        "/demo/echo/half-head",
        "/demo/echo/short-body",
        "/demo/echo/short-chunk",
        "/demo/echo/garbage",
    ];
    let post = |path| BrokenCase {
        path,
        method: Method::POST,
        attempts: 1,
    };
    let get = |path| BrokenCase {
        path,
        method: Method::GET,
        attempts: 4,
    };
    let mut failed = 0;
    for case in paths.into_iter().map(post).chain(paths.map(get)) {
        let reply = system.call(0, case.method.clone(), case.path, &[], "");
        let reply = reply.await;
        assert_eq!(
            reply.status_and_outcome(),
            (502, "unknown"),
            "{}",
            case.path
        );
        let metric = "parsleytally_agent_requests_total{outcome=\"failed\"}";
        let now = system.metric(0, metric).await;
        assert_eq!(now - failed, case.attempts, "{} {}", case.method, case.path);
        failed = now;
    }
}

/// Guards against a request that takes down one endpoint after another, by retries of the entry
/// and by repeats of its caller.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_takes_endpoints_down_is_not_sent_on() {
    const AGENTS: usize = 6;
    let system = Builder {
        agents: AGENTS,
        endpoint: Endpoint::Broken,
        ..Builder::default()
    };
    let system = system.start().await;
    let get = || system.call(0, Method::GET, "/demo/echo/close", &[], "");
    let reply = get().await;
    assert_eq!(reply.status_and_outcome(), (502, "unknown"));
    for _ in 0..3 {
        let reply = get().await;
        assert_eq!(reply.status_and_outcome(), (503, "not-run"));
        assert!(reply.headers.contains_key("retry-after"));
    }
    let mut lost = 0;
    for agent in 0..AGENTS {
        let metric = "parsleytally_agent_requests_total{outcome=\"failed\"}";
        lost += system.metric(agent, metric).await;
    }
    assert_eq!(lost, 2, "endpoints that broke off");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_to_an_endpoint_that_is_down_is_not_run() {
    let system = Builder {
        endpoint: Endpoint::Down,
        ..Builder::default()
    };
    let system = system.start().await;
    let reply = system.call(0, Method::POST, "/demo/echo/x", &[], "").await;
    assert_eq!(
        reply.status_and_outcome(),
        (503, "not-run"),
        "{}",
        reply.body
    );
    assert!(reply.headers.contains_key("retry-after"));
    let metric = "parsleytally_agent_requests_total{outcome=\"refused\"}";
    assert_eq!(system.metric(0, metric).await, 4);
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_stay_unusable_after_their_agent_dies_during_the_request() {
    let mut system = Builder::default().start().await;
    let agent = system.agents.remove(0);
    let headers = [("idempotency-key", "k")];
    let operators = agent.operators();
    let path = "/demo/echo/sleep/600000";
    let running = system.call(0, Method::POST, path, &headers, "");
    let killed = async {
        let client = volo_http::client::Client::builder().build().unwrap();
        loop {
            let uri = format!("http://{operators}/metrics");
            let response: volo_http::response::Response = client.get(uri).send().await.unwrap();
            let (_, body) = response.into_parts();
            let body = parsleytally_platform::process::http::read_body(body, 1 << 20);
            let text = String::from_utf8(body.await.unwrap().to_vec()).unwrap();
            if text.contains("parsleytally_agent_busy_requests 1") {
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
        drop(agent);
    };
    let (reply, ()) = tokio::join!(running, killed);
    assert_eq!(reply.status_and_outcome(), (502, "unknown"));
    system.wait_for_workers(0).await;
    let repeated = system.call(0, Method::POST, path, &headers, "").await;
    assert_eq!(
        repeated.status_and_outcome(),
        (409, "unknown"),
        "{}",
        repeated.body
    );
    let unkeyed = system.call(0, Method::POST, "/demo/echo/x", &[], "").await;
    assert_eq!(unkeyed.status_and_outcome().1, "not-run");
}
