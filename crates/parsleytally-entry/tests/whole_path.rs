//! Standalone mode end to end: callers, operators, batch tasks, settings and spans.

use std::time::Duration;

use http::{Method, StatusCode};
use parsleytally_entry::standalone::{Addresses, Standalone};
use parsleytally_platform::process::http::read_body;
use parsleytally_platform::process::spans;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

/// Polls of an expected state before a test fails.
const MAX_POLLS: usize = 600;
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

struct System {
    standalone: Standalone,
    client: Client,
}

struct Reply {
    status: StatusCode,
    headers: http::HeaderMap,
    body: String,
}

impl System {
    async fn start() -> Self {
        spans::start();
        let any_port = "127.0.0.1:0".parse().unwrap();
        let addresses = Addresses {
            callers: Some(any_port),
            operators: Some(any_port),
        };
        let standalone = Standalone::start(addresses).await.unwrap();
        let client = Client::builder().build().unwrap();
        let system = Self { standalone, client };
        system
            .wait_until("/v1/workers", |body| body.contains("\"ready\""))
            .await;
        system
    }

    async fn caller(&self, method: Method, path: &str, body: &str) -> Reply {
        let uri = format!("http://{}{path}", self.standalone.entry().callers());
        self.send(method, uri, body, None).await
    }

    async fn operator(&self, method: Method, path: &str, body: &str) -> Reply {
        let uri = format!("http://{}{path}", self.standalone.entry().operators());
        self.send(method, uri, body, None).await
    }

    async fn send(
        &self,
        method: Method,
        uri: String,
        body: &str,
        header: Option<(&'static str, &str)>,
    ) -> Reply {
        let mut call = self
            .client
            .request(method, uri)
            .body(Body::from(body.to_owned()));
        if let Some((name, value)) = header {
            call = call.header(name, value);
        }
        let response: Response = call.send().await.unwrap();
        let (parts, body) = response.into_parts();
        let body = read_body(body, 4 << 20).await.unwrap();
        Reply {
            status: parts.status,
            headers: parts.headers,
            body: String::from_utf8(body.to_vec()).unwrap(),
        }
    }

    async fn wait_until(&self, path: &str, is_reached: impl Fn(&str) -> bool) -> String {
        for _ in 0..MAX_POLLS {
            let reply = self.operator(Method::GET, path, "").await;
            if is_reached(&reply.body) {
                return reply.body;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("{path} did not reach the expected state");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_served_end_to_end_with_a_span_for_each_hop() {
    let system = System::start().await;
    let uri = format!(
        "http://{}/demo/echo/hello?x=1",
        system.standalone.entry().callers()
    );
    let trace = "0af7651916cd43dd8448eb211c80319c";
    let parent = format!("00-{trace}-b7ad6b7169203331-01");
    let header = Some(("traceparent", parent.as_str()));
    let reply = system.send(Method::POST, uri, "body", header).await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
    let echo: Value = serde_json::from_str(&reply.body).unwrap();
    assert_eq!(echo["path"], "/echo/hello");
    assert_eq!(echo["body"], "body");
    let spans = system
        .wait_until("/v1/spans", |body| body.matches(trace).count() >= 5)
        .await;
    let spans: Vec<Value> = serde_json::from_str(&spans).unwrap();
    let mut hops: Vec<&str> = spans
        .iter()
        .filter(|span| span["trace"] == trace)
        .map(|span| span["name"].as_str().unwrap())
        .collect();
    hops.sort_unstable();
    let expected = [
        "agent.endpoint",
        "agent.request",
        "endpoint.answer",
        "entry.link",
        "entry.request",
    ];
    assert_eq!(hops, expected);
    system.standalone.close().await;
}

struct ErrorCase {
    path: &'static str,
    status: StatusCode,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_for_an_unknown_service_is_not_run() {
    let system = System::start().await;
    let cases = [
        ErrorCase {
            path: "/demo/other/x",
            status: StatusCode::NOT_FOUND,
        },
        ErrorCase {
            path: "/demo",
            status: StatusCode::NOT_FOUND,
        },
        ErrorCase {
            path: "/DEMO/echo",
            status: StatusCode::NOT_FOUND,
        },
        ErrorCase {
            path: "/",
            status: StatusCode::NOT_FOUND,
        },
    ];
    for case in cases {
        let reply = system.caller(Method::GET, case.path, "").await;
        assert_eq!(reply.status, case.status, "{}", case.path);
        assert_eq!(
            reply.headers["parsleytally-outcome"], "not-run",
            "{}",
            case.path
        );
    }
    system.standalone.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_batch_task_is_placed_run_and_reported_as_finished() {
    let system = System::start().await;
    let path = "/v1/settings/demo/batch/count";
    let reply = system
        .operator(Method::PUT, path, "[task]\ncpu = 500\nrun-time = 50ms\n")
        .await;
    assert_eq!(reply.status, StatusCode::OK, "{}", reply.body);
    let task = system
        .wait_until("/v1/tasks/demo/count", |body| body.contains("finished"))
        .await;
    let task: Value = serde_json::from_str(&task).unwrap();
    assert_eq!(task["run"], 1);
    let accepted = reply.headers["etag"].to_str().unwrap().trim_matches('"');
    let accepted: u64 = accepted.parse().unwrap();
    // The store's revision also rises with journals and owner records.
    let in_force = |body: &str| {
        let status: Value = serde_json::from_str(body).unwrap();
        status["revision"].as_u64() >= Some(accepted) && status["agents_in_force"] == 1
    };
    let status = system.wait_until("/v1/status", in_force).await;
    assert!(status.contains("\"agents\":1"), "{status}");
    let metrics = system.operator(Method::GET, "/metrics", "").await;
    assert!(
        metrics
            .body
            .contains("parsleytally_entry_tasks_total{event=\"finished\"} 1")
    );
    system.standalone.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_checked_and_racing_operators_get_412() {
    let system = System::start().await;
    let path = "/v1/settings/demo/services/echo";
    let first = system
        .operator(Method::PUT, path, "[service]\ntimeout = 5s\n")
        .await;
    assert_eq!(first.status, StatusCode::OK);
    let tag = first.headers["etag"].to_str().unwrap().to_owned();
    let uri = format!("http://{}{path}", system.standalone.entry().operators());
    let text = "[service]\ntimeout = 6s\n";
    let won = system
        .send(Method::PUT, uri.clone(), text, Some(("if-match", &tag)))
        .await;
    assert_eq!(won.status, StatusCode::OK);
    let lost = system
        .send(Method::PUT, uri, text, Some(("if-match", &tag)))
        .await;
    assert_eq!(lost.status, StatusCode::PRECONDITION_FAILED);
    let bad = system
        .operator(Method::PUT, path, "[service]\ntimeout = never\n")
        .await;
    assert_eq!(bad.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(
        bad.body.contains("\"timeout\" in section [service]"),
        "{}",
        bad.body
    );
    let now = system.operator(Method::GET, path, "").await;
    assert_eq!(now.body, text);
    system.standalone.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shutdown_answers_a_request_in_flight_and_closes_its_connection() {
    let system = System::start().await;
    let callers = system.standalone.entry().callers();
    let mut caller = TcpStream::connect(callers).await.unwrap();
    let request = b"GET /demo/echo/sleep/1000 HTTP/1.1\r\nhost: demo\r\n\r\n";
    caller.write_all(request).await.unwrap();
    let in_flight = "parsleytally_entry_in_flight 1";
    system
        .wait_until("/metrics", |body| body.contains(in_flight))
        .await;
    let mut answer = String::new();
    let (_, read) = tokio::join!(
        system.standalone.close(),
        caller.read_to_string(&mut answer)
    );
    read.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200 OK"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
    assert!(
        answer.ends_with("\"path\":\"/echo/sleep/1000\"}"),
        "{answer}"
    );
    assert!(TcpStream::connect(callers).await.is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_is_late_is_not_run() {
    let system = System::start().await;
    let mut caller = TcpStream::connect(system.standalone.entry().callers())
        .await
        .unwrap();
    let request = b"POST /demo/echo/book/slow HTTP/1.1\r\nhost: demo\r\n\
        content-length: 10\r\nparsleytally-timeout: 100ms\r\n\r\nfour";
    caller.write_all(request).await.unwrap();
    let mut answer = vec![0; 4096];
    let size = caller.read(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer[..size]);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("parsleytally-outcome: not-run"), "{answer}");
    assert_eq!(system.standalone.sample.booked("slow"), 0);
    system.standalone.close().await;
}
