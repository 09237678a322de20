//! The operators' page of metrics against what the processes show.

use std::collections::BTreeSet;

use parsleytally_entry::standalone::{Addresses, Standalone};
use parsleytally_platform::process::http::read_body;
use volo_http::client::Client;
use volo_http::response::Response;

const PAGE: &str = include_str!("../../../docs/operators/metrics.md");

/// Metrics that have no value yet in a process that has only started, or that need
/// a store behind the gateway.
const LATER: [&str; 7] = [
    "parsleytally_agent_requests_total",
    "parsleytally_agent_runs_total",
    "parsleytally_entry_requests_total",
    "parsleytally_entry_tasks_total",
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

async fn shown(client: &Client, address: std::net::SocketAddr) -> String {
    let call = client.get(format!("http://{address}/metrics"));
    let response: Response = call.send().await.unwrap();
    let body = read_body(response.into_body(), 1 << 20).await.unwrap();
    String::from_utf8(body.to_vec()).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_metric_stands_on_the_page_and_every_row_is_a_metric() {
    let any = "127.0.0.1:0".parse().unwrap();
    let addresses = Addresses {
        callers: Some(any),
        operators: Some(any),
    };
    let all = Standalone::start(addresses).await.unwrap();
    let client = Client::builder().build().unwrap();
    let mut text = shown(&client, all.entry().operators()).await;
    text.push_str(&shown(&client, all.agent().operators()).await);
    let names: BTreeSet<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    let documented = documented();
    let missing: Vec<_> = names.difference(&documented).collect();
    assert!(missing.is_empty(), "not on the page: {missing:?}");
    let unknown: Vec<_> = documented
        .difference(&names)
        .filter(|name| !LATER.contains(name))
        .collect();
    assert!(unknown.is_empty(), "not shown by any process: {unknown:?}");
    all.close().await;
}
