//! Compares the operators' documentation of metrics with the metrics of the processes.

use std::collections::BTreeSet;

use parsleytally_entry::standalone::{Addresses, Standalone};
use parsleytally_platform::process::http::read_body;
use volo_http::client::Client;
use volo_http::response::Response;

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

/// Documented metrics that a standalone process doesn't have at its start: labelled ones
/// without a value, and those of a store reached over its HTTP gateway.
const ABSENT_AT_START: [&str; 8] = [
    "parsleytally_agent_requests_total",
    "parsleytally_agent_runs_total",
    "parsleytally_entry_requests_total",
    "parsleytally_entry_tasks_total",
    "parsleytally_http_limited_total",
    "parsleytally_store_calls_total",
    "parsleytally_store_errors_total",
    "parsleytally_store_watches",
];

fn documented() -> BTreeSet<&'static str> {
    PAGE.lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split_once('`'))
        .map(|(name, _)| name)
        .filter(|name| name.starts_with("parsleytally_"))
        .collect()
}

async fn scrape(client: &Client, address: std::net::SocketAddr) -> String {
    let call = client.get(format!("http://{address}/metrics"));
    let response: Response = call.send().await.unwrap();
    let body = read_body(response.into_body(), 1 << 20).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_metric_is_documented_and_every_documented_metric_exists() {
    let any_port = "127.0.0.1:0".parse().unwrap();
    let addresses = Addresses {
        callers: Some(any_port),
        operators: Some(any_port),
    };
    let standalone = Standalone::start(addresses).await.unwrap();
    let client = Client::builder().build().unwrap();
    let mut text = scrape(&client, standalone.entry().operators()).await;
    text.push_str(&scrape(&client, standalone.agent().operators()).await);
    let names: BTreeSet<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    let documented = documented();
    let missing: Vec<_> = names.difference(&documented).collect();
    assert!(missing.is_empty(), "not documented: {missing:?}");
    let unknown: Vec<_> = documented
        .difference(&names)
        .filter(|name| !ABSENT_AT_START.contains(name))
        .collect();
    assert!(
        unknown.is_empty(),
        "documented, but no process has them: {unknown:?}"
    );
    standalone.close().await;
}
