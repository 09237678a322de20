//! Tests of the limits of a listener, over sockets.

use std::time::Duration;

use parsleytally::configs::HttpConfig;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::*;

/// Longest body that the handler reads, in bytes.
const BODY_LIMIT: usize = 100_000;
/// Longest wait of a test for bytes.
const PATIENCE: Duration = Duration::from_secs(20);

/// Answers the size of each body; `/wait` first waits until it is released.
#[derive(Default)]
struct Sizes {
    released: Notify,
}

impl Handler for Sizes {
    fn answer(&self, request: Request) -> Answering<'_> {
        Box::pin(async move {
            let (parts, body) = request.into_parts();
            match read_body(body, BODY_LIMIT).await {
                Ok(body) if parts.uri.path() == "/wait" => {
                    self.released.notified().await;
                    text(StatusCode::OK, body.len().to_string())
                }
                Ok(body) => text(StatusCode::OK, body.len().to_string()),
                Err(BodyError::Refused { refusal }) => refusal.response(),
                Err(error) => text(error.status(), error.to_string()),
            }
        })
    }
}

async fn start(limits: HttpConfig) -> (HttpServer, Arc<Sizes>) {
    let listener = Listener {
        limits,
        ..Listener::default()
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let sizes = Arc::new(Sizes::default());
    let server = HttpServer::start_limited(any, sizes.clone(), &listener);
    (server.await.unwrap(), sizes)
}

async fn connect(server: &HttpServer, request: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).await.unwrap();
    let _ = stream.write_all(request).await;
    stream
}

/// What the client reads until the end of the connection.
async fn rest(mut stream: TcpStream) -> String {
    let mut text = Vec::new();
    let read = timeout(PATIENCE, stream.read_to_end(&mut text)).await;
    assert!(read.is_ok(), "the connection is still open");
    String::from_utf8_lossy(&text).into_owned()
}

fn post(path: &str, body: usize) -> Vec<u8> {
    let close = "Connection: close";
    let head =
        format!("POST {path} HTTP/1.1\r\nHost: a\r\n{close}\r\nContent-Length: {body}\r\n\r\n");
    [head.into_bytes(), vec![b'a'; body]].concat()
}

struct RequestCase {
    name: &'static str,
    request: Vec<u8>,
    /// Start of the answer.
    answer: &'static str,
}

#[tokio::test]
async fn requests_within_the_limits_are_served_and_others_refused() {
    let chunked =
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    let chunks = [chunked, &"1\r\na\r\n".repeat(5_000), "0\r\n\r\n"].concat();
    let header = |size: usize| {
        format!(
            "GET / HTTP/1.1\r\nConnection: close\r\nA: {}\r\n\r\n",
            "a".repeat(size)
        )
    };
    let cases = [
        RequestCase {
            name: "no body",
            request: header(1).into_bytes(),
            answer: "HTTP/1.1 200",
        },
        RequestCase {
            name: "a body at the limit",
            request: post("/", BODY_LIMIT),
            answer: "HTTP/1.1 200",
        },
        RequestCase {
            name: "a body over the limit",
            request: post("/", BODY_LIMIT + 1),
            answer: "HTTP/1.1 413",
        },
        RequestCase {
            name: "small chunks",
            request: chunks.into_bytes(),
            answer: "HTTP/1.1 200",
        },
        RequestCase {
            name: "a head below the limit",
            request: header(16_000).into_bytes(),
            answer: "HTTP/1.1 200",
        },
        RequestCase {
            name: "a head over the limit",
            request: header(33_000).into_bytes(),
            answer: "HTTP/1.1 431",
        },
    ];
    let (server, _) = start(HttpConfig::default()).await;
    for case in cases {
        let answer = rest(connect(&server, &case.request).await).await;
        assert!(answer.starts_with(case.answer), "{}: {answer}", case.name);
    }
    server.close().await;
}

#[tokio::test]
async fn a_body_that_stops_short_makes_room_for_another_one() {
    let limits = HttpConfig {
        memory: 300_000,
        ..HttpConfig::default()
    };
    let (server, _) = start(limits).await;
    let whole = post("/", BODY_LIMIT);
    let short = connect(&server, &whole[..whole.len() - 1]).await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    let answer = rest(connect(&server, &whole).await).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(rest(short).await, "");
    server.close().await;
}

#[tokio::test]
async fn a_request_beside_too_many_is_refused_at_once_and_true() {
    let limits = HttpConfig {
        requests: 1,
        ..HttpConfig::default()
    };
    let (server, sizes) = start(limits).await;
    let waiting = connect(&server, &post("/wait", 10)).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    for body in [0, 10] {
        let refused = rest(connect(&server, &post("/", body)).await).await;
        assert!(refused.starts_with("HTTP/1.1 503"), "{refused}");
        assert!(refused.contains("retry-after: 1\r\n"), "{refused}");
    }
    sizes.released.notify_one();
    assert!(rest(waiting).await.ends_with("10"));
    let answer = rest(connect(&server, &post("/", 10)).await).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    server.close().await;
}

#[tokio::test]
async fn a_full_listener_closes_a_connection_after_its_answer() {
    let limits = HttpConfig {
        connections: 1,
        ..HttpConfig::default()
    };
    let (server, sizes) = start(limits).await;
    let get = |path: &str| format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    let client = connect(&server, get("/wait").repeat(3).as_bytes()).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(rest(connect(&server, b"").await).await, "");
    sizes.released.notify_one();
    let answers = rest(client).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 1, "{answers}");
    assert!(answers.contains("connection: close"), "{answers}");
    let close = "GET / HTTP/1.1\r\nConnection: close\r\n\r\n";
    let answer = rest(connect(&server, close.as_bytes()).await).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    server.close().await;
}

#[tokio::test]
async fn a_listener_that_stops_accepting_serves_open_connections() {
    let (server, sizes) = start(HttpConfig::default()).await;
    let waiting = connect(&server, &post("/wait", 10)).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.stop_accepting();
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(TcpStream::connect(server.address()).await.is_err());
    sizes.released.notify_one();
    assert!(rest(waiting).await.ends_with("10"));
    server.close().await;
}

#[tokio::test]
async fn a_closed_listener_drops_open_connections() {
    let (server, _) = start(HttpConfig::default()).await;
    let waiting = connect(&server, &post("/wait", 10)).await;
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.close().await;
    assert_eq!(rest(waiting).await, "");
}
