//! Operators change settings over HTTP, and entries and agents on loopback apply them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Method, StatusCode};
use parsleytally::configs::StoreConfig;
use parsleytally::types::Revision;
use parsleytally_agent::Agent;
use parsleytally_agent::config::AgentConfig;
use parsleytally_entry::Entry;
use parsleytally_entry::config::EntryConfig;
use parsleytally_platform::process::http::read_body;
use parsleytally_platform::store::{
    Commit, EtcdStore, MemoryStore, Outcome, Store, Write, gateway,
};
use serde_json::Value;
use tokio::net::TcpListener;
use volo_http::body::Body;
use volo_http::client::Client;
use volo_http::response::Response;

/// Polls of an expected state before a test fails.
const MAX_POLLS: usize = 1_500;
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const LINK: &str = "\
[link]\nkey = 00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff\n";
const ADMIN: &str = "an administrator's token";
const TASK: &str = "[task]\ncpu = 500\n";

struct System {
    store: MemoryStore,
    entries: Vec<Entry>,
    agents: Vec<Agent>,
    client: Client,
}

struct Reply {
    status: StatusCode,
    etag: Option<String>,
    body: String,
}

impl System {
    async fn start(entries: usize, agents: usize, operators: &str) -> Self {
        let mut system = Self {
            store: MemoryStore::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            client: Client::builder().build().unwrap(),
        };
        for n in 0..entries {
            system.start_entry(n, "127.0.0.1:0", operators).await;
        }
        for n in 0..agents {
            system.start_agent(n).await;
        }
        system
    }

    async fn start_entry(&mut self, n: usize, links: &str, more: &str) {
        let any = "127.0.0.1:0";
        let text = format!(
            "[entry]\nname = entry-{n}\nzone = a\ngrace = 0s\n\
             callers = {any}\noperators = {any}\nlinks = {links}\n{more}{LINK}"
        );
        let config = EntryConfig::parse(text.as_bytes()).unwrap();
        let store = Arc::new(self.store.clone());
        self.entries
            .push(Entry::start(config, store).await.unwrap());
    }

    async fn start_agent(&mut self, n: usize) {
        let links: Vec<_> = self.entries.iter().map(|e| e.links().to_string()).collect();
        let links = links.join(",");
        let endpoint = SocketAddr::from(([127, 0, 0, 1], 9));
        let text = format!(
            "[agent]\nname = worker-{n}\nzone = a\nrack = a1\nentries = {links}\n\
             [worker]\ncpu = 16000\nmemory = 60GB\n\
             [endpoint]\nteam = demo\nservice = echo\naddress = {endpoint}\n{LINK}"
        );
        let config = AgentConfig::parse(text.as_bytes()).unwrap();
        self.agents.push(Agent::start(config).await.unwrap());
    }

    async fn send(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &str,
        headers: &[(&'static str, &str)],
    ) -> Reply {
        let uri = format!("http://{}{path}", self.entries[entry].operators());
        let call = self.client.request(method, uri);
        let mut call = call.body(Body::from(body.to_owned()));
        for (name, value) in headers {
            call = call.header(*name, *value);
        }
        let response: Response = call.send().await.unwrap();
        let (parts, body) = response.into_parts();
        let etag = parts.headers.get("etag");
        let body = read_body(body, 4 << 20).await.unwrap();
        Reply {
            status: parts.status,
            etag: etag.map(|value| value.to_str().unwrap().to_owned()),
            body: String::from_utf8(body.to_vec()).unwrap(),
        }
    }

    async fn put(&self, entry: usize, path: &str, body: &str) -> Reply {
        let path = format!("/v1/settings/{path}");
        self.send(entry, Method::PUT, &path, body, &[]).await
    }

    async fn get(&self, entry: usize, path: &str) -> Reply {
        self.send(entry, Method::GET, path, "", &[]).await
    }

    /// Waits until `revision` is in force at every entry and agent.
    async fn wait_until_in_force(&self, revision: Revision) {
        for _ in 0..MAX_POLLS {
            let entries = self.entries.iter().map(Entry::settings_revision);
            let agents = self.agents.iter().map(Agent::settings_revision);
            if entries
                .chain(agents)
                .all(|revision_held| revision_held >= revision)
            {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("revision {revision} did not come into force everywhere");
    }
}

impl System {
    /// Polls the status of an entry until `is_reached` accepts it.
    async fn wait_for_status(&self, entry: usize, is_reached: impl Fn(&Value) -> bool) {
        let mut status = Value::Null;
        for _ in 0..MAX_POLLS {
            let body = self.get(entry, "/v1/status").await.body;
            status = serde_json::from_str(&body).unwrap();
            if is_reached(&status) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        panic!("status did not reach the expected state: {status}");
    }
}

fn revision(reply: &Reply) -> Revision {
    let etag = reply
        .etag
        .as_deref()
        .expect("an accepted change has an ETag");
    Revision(etag.trim_matches('"').parse().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_is_in_force_everywhere_and_reported_in_the_status() {
    let system = System::start(2, 2, "").await;
    let accepted = system.put(0, "demo/services/echo", "[service]\ntimeout = 9s\n");
    let accepted = accepted.await;
    assert_eq!(accepted.status, StatusCode::OK, "{}", accepted.body);
    system.wait_until_in_force(revision(&accepted)).await;
    for entry in 0..2 {
        for polls in 0.. {
            let status = system.get(entry, "/v1/status").await.body;
            let status: Value = serde_json::from_str(&status).unwrap();
            assert_eq!(status["confirmed"], true);
            if status["agents_in_force"] == 2 {
                break;
            }
            assert!(polls < MAX_POLLS, "{status}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_that_joins_late_or_after_its_entry_was_replaced_gets_all_settings() {
    let mut system = System::start(1, 1, "").await;
    let path = "demo/services/echo";
    let first = system.put(0, path, "[service]\ntimeout = 9s\n").await;
    system.wait_until_in_force(revision(&first)).await;
    system.start_agent(1).await;
    system.wait_until_in_force(revision(&first)).await;
    let links = system.entries[0].links().to_string();
    system.entries.remove(0).close().await;
    system.start_entry(0, &links, "").await;
    let second = system.put(0, path, "[service]\ntimeout = 8s\n").await;
    assert!(revision(&second) > revision(&first));
    system.wait_until_in_force(revision(&second)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn racing_operators_lose_no_update() {
    let system = Arc::new(System::start(2, 0, "").await);
    let path = "/v1/settings/demo/batch/count";
    let mut writers = tokio::task::JoinSet::new();
    for n in 0..8 {
        let system = system.clone();
        writers.spawn(async move {
            let mut accepted = 0;
            for _ in 0..5 {
                let now = system.get(n % 2, path).await;
                let body = format!("[task]\ncpu = {}\n", cpu(&now) + 1);
                let condition = match &now.etag {
                    Some(etag) => ("if-match", etag.as_str()),
                    None => ("if-none-match", "*"),
                };
                let put = system
                    .send(n % 2, Method::PUT, path, &body, &[condition])
                    .await;
                match put.status {
                    StatusCode::OK => accepted += 1,
                    StatusCode::PRECONDITION_FAILED => {}
                    StatusCode::SERVICE_UNAVAILABLE => {
                        assert!(put.body.starts_with("accepted: no"), "{}", put.body);
                    }
                    status => panic!("{status}: {}", put.body),
                }
            }
            accepted
        });
    }
    let accepted: u64 = writers.join_all().await.into_iter().sum();
    assert!(accepted > 0);
    assert_eq!(cpu(&system.get(0, path).await), accepted);
}

fn cpu(reply: &Reply) -> u64 {
    let value = reply.body.strip_prefix("[task]\ncpu = ");
    value.map_or(0, |value| value.trim().parse().unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_quota_and_a_task_that_race_never_contradict_each_other() {
    for round in 0..10 {
        let system = System::start(2, 0, "").await;
        let quota = system.put(0, "demo/quota", "[quota]\ncpu = 400\n");
        let task = system.put(1, "demo/batch/count", TASK);
        let (quota, task) = tokio::join!(quota, task);
        let mut statuses = [quota.status.as_u16(), task.status.as_u16()];
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 422], "round {round}");
    }
}

/// Starts an entry that reaches the system's store through its HTTP gateway.
async fn start_entry_over_gateway(system: &mut System) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let config = StoreConfig {
        endpoints: vec![listener.local_addr().unwrap()],
        ..StoreConfig::default()
    };
    tokio::spawn(gateway::serve(system.store.clone(), listener));
    let any = "127.0.0.1:0";
    let text = format!(
        "[entry]\nname = entry-g\nzone = a\ngrace = 0s\n\
         callers = {any}\noperators = {any}\nlinks = {any}\n{LINK}"
    );
    let entry = EntryConfig::parse(text.as_bytes()).unwrap();
    let store = Arc::new(EtcdStore::new(config, 1).unwrap());
    system
        .entries
        .push(Entry::start(entry, store).await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_come_into_force_over_the_gateway_despite_faults() {
    let mut system = System::start(0, 0, "").await;
    start_entry_over_gateway(&mut system).await;
    system.start_agent(0).await;
    let path = "demo/services/echo";
    let first = system.put(0, path, "[service]\ntimeout = 9s\n").await;
    assert_eq!(first.status, StatusCode::OK, "{}", first.body);
    system.wait_until_in_force(revision(&first)).await;
    system.store.lose_answers(1);
    let lost = system.put(0, path, "[service]\ntimeout = 8s\n").await;
    assert_eq!(lost.status, StatusCode::OK, "{}", lost.body);
    system.wait_until_in_force(revision(&lost)).await;
    system.store.cut_watches();
    system.store.set_down(true);
    let down = system.put(0, path, "[service]\ntimeout = 7s\n").await;
    assert_eq!(down.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(down.body.starts_with("accepted: no\n"), "{}", down.body);
    system.store.set_down(false);
    for polls in 0.. {
        let again = system.put(0, path, "[service]\ntimeout = 6s\n").await;
        if again.status == StatusCode::OK {
            system.wait_until_in_force(revision(&again)).await;
            break;
        }
        assert!(polls < MAX_POLLS, "{}", again.body);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let metrics = system.get(0, "/metrics").await.body;
    assert!(
        metrics.contains("parsleytally_store_watches 1"),
        "{metrics}"
    );
}

/// Setting `peers` with the link addresses of `entries`.
fn peers_line(entries: &[Entry]) -> String {
    let links: Vec<_> = entries.iter().map(|e| e.links().to_string()).collect();
    format!("peers = {}\n", links.join(","))
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_starts_during_an_outage_gets_settings_from_its_peers() {
    let mut system = System::start(1, 0, "").await;
    let set = system.put(0, "demo/batch/count", TASK).await;
    system.wait_until_in_force(revision(&set)).await;
    system.store.set_down(true);
    let peer_settings = peers_line(&system.entries);
    system.start_entry(1, "127.0.0.1:0", &peer_settings).await;
    system.wait_until_in_force(revision(&set)).await;
    let tasks = system.get(1, "/v1/tasks/demo").await.body;
    assert!(tasks.contains("\"count\""), "{tasks}");
    let status = system.get(1, "/v1/status").await.body;
    let status: Value = serde_json::from_str(&status).unwrap();
    assert_eq!(status["confirmed"], false);
    system.store.set_down(false);
    let set = system.put(1, "demo/batch/count", "[task]\ncpu = 1\n").await;
    system.wait_until_in_force(revision(&set)).await;
    for polls in 0.. {
        let status = system.get(1, "/v1/status").await.body;
        let status: Value = serde_json::from_str(&status).unwrap();
        if status["confirmed"] == true {
            break;
        }
        assert!(polls < MAX_POLLS, "{status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn all_entries_replaced_at_once_lose_no_setting() {
    let mut system = System::start(2, 2, "").await;
    let set = system.put(0, "demo/services/echo", "[service]\n").await;
    system.wait_until_in_force(revision(&set)).await;
    let links: Vec<_> = system
        .entries
        .iter()
        .map(|e| e.links().to_string())
        .collect();
    for entry in std::mem::take(&mut system.entries) {
        entry.close().await;
    }
    for (n, links) in links.iter().enumerate() {
        let peer_settings = peers_line(&system.entries);
        let peer_settings = if n > 0 { peer_settings } else { String::new() };
        system.start_entry(n, links, &peer_settings).await;
    }
    system.wait_until_in_force(revision(&set)).await;
    let stored = system.get(1, "/v1/settings/demo/services/echo").await;
    assert_eq!(stored.etag, set.etag);
    for polls in 0.. {
        let status = system.get(0, "/v1/status").await.body;
        let status: Value = serde_json::from_str(&status).unwrap();
        if status["agents_in_force"] == 2 && status["entries_in_force"] == 1 {
            break;
        }
        assert!(polls < MAX_POLLS, "{status}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dialled_entry_reports_its_higher_revision() {
    let mut system = System::start(0, 0, "").await;
    let dialled = system.store.clone();
    put_raw(&dialled, "services/echo").await;
    // Commits of unrelated keys raise this store's revision above that of the second one.
    for key in ["a", "b", "c"] {
        let key = format!("/elsewhere/{key}");
        commit_raw(&dialled, &key).await;
    }
    dialled.set_down(true);
    system.start_entry(0, "127.0.0.1:0", "").await;
    system.store = MemoryStore::new();
    put_raw(&system.store, "services/echo").await;
    let peer_settings = peers_line(&system.entries);
    system.start_entry(1, "127.0.0.1:0", &peer_settings).await;
    system
        .wait_for_status(0, |status| status["entries"][0]["entry"] == "entry-1")
        .await;
    dialled.set_down(false);
    system
        .wait_for_status(0, |status| {
            status["confirmed"] == true && status["entries_in_force"] == 1
        })
        .await;
}

async fn put_raw(store: &MemoryStore, path: &str) {
    commit_raw(store, &format!("/parsleytally/teams/demo/{path}")).await;
}

async fn commit_raw(store: &MemoryStore, key: &str) {
    let write = Write::Put {
        key: key.to_owned(),
        value: b"[service]\n".to_vec(),
        lease: None,
    };
    let commit = Commit {
        compares: Vec::new(),
        writes: vec![write],
    };
    store.commit(commit).await.unwrap();
}

struct RefusalCase {
    path: &'static str,
    body: &'static [u8],
    status: u16,
    reason: &'static str,
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_paths_and_settings_are_refused() {
    let system = System::start(1, 0, "").await;
    let case = |path, body, status, reason| RefusalCase {
        path,
        body,
        status,
        reason,
    };
    let cases = [
        case("demo/batch/..", b"", 404, "names no settings"),
        case(
            "demo/batch/../../other/quota",
            b"",
            404,
            "names no settings",
        ),
        case("demo/batch/%2e%2e", b"", 404, "names no settings"),
        case("demo%2fbatch/x", b"", 404, "names no settings"),
        case("demo//x", b"", 404, "names no settings"),
        case("", b"", 404, "names no settings"),
        case("demo/batch/x", b"[tas", 422, "not INI"),
        case("demo/batch/x", b"[task]\ncpu = \xff\n", 422, "not UTF-8"),
        case(
            "demo/batch/x",
            b"[task]\ncpu = 1\ncpu = 2\n",
            422,
            "key \"cpu\" stands twice in section [task]",
        ),
        case("demo/batch/x", &[b'#'; 70_000], 413, ""),
    ];
    for case in cases {
        let uri = format!(
            "http://{}/v1/settings/{}",
            system.entries[0].operators(),
            case.path
        );
        let call = system.client.put(uri).body(Body::from(case.body.to_vec()));
        let response: Response = call.send().await.unwrap();
        let (parts, body) = response.into_parts();
        let body = read_body(body, 1 << 20).await.unwrap();
        let body = String::from_utf8_lossy(&body);
        assert_eq!(parts.status.as_u16(), case.status, "{}: {body}", case.path);
        assert!(body.contains(case.reason), "{}: {body}", case.path);
    }
    // The store holds only the scheduler's own keys.
    let own = ["/parsleytally/ownership/", "/parsleytally/journals/"];
    let items = system.store.range("").await.unwrap().items;
    let other = items
        .iter()
        .find(|i| !own.iter().any(|p| i.key.starts_with(p)));
    assert_eq!(other, None);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_to_changes_are_correct_while_the_store_fails() {
    let system = System::start(1, 0, "").await;
    system.store.lose_answers(1);
    let lost = system.put(0, "demo/batch/count", TASK).await;
    assert_eq!(lost.status, StatusCode::OK, "{}", lost.body);
    system.store.set_down(true);
    let down = system.put(0, "demo/batch/count", "[task]\n").await;
    assert_eq!(down.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(down.body.starts_with("accepted: no\n"), "{}", down.body);
    system.store.set_down(false);
    let now = system.get(0, "/v1/settings/demo/batch/count").await;
    assert_eq!(now.body, TASK);
    assert_eq!(now.etag, lost.etag);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bad_value_in_the_store_is_kept_out_and_named_in_the_status() {
    let system = System::start(1, 0, "").await;
    let commit = Commit {
        compares: Vec::new(),
        writes: vec![Write::Put {
            key: "/parsleytally/teams/demo/quota".to_owned(),
            value: b"[quota]\ncpu = lots\n".to_vec(),
            lease: None,
        }],
    };
    let outcome = system.store.commit(commit).await.unwrap();
    let (Outcome::Committed(revision) | Outcome::Conflict(revision)) = outcome;
    system.wait_until_in_force(revision).await;
    let status = system.get(0, "/v1/status").await.body;
    let status: Value = serde_json::from_str(&status).unwrap();
    let bad = &status["bad_settings"][0];
    assert_eq!(bad["key"], "/parsleytally/teams/demo/quota");
    assert!(
        bad["reason"].as_str().unwrap().contains("\"lots\""),
        "{bad}"
    );
    let metrics = system.get(0, "/metrics").await.body;
    assert!(metrics.contains("parsleytally_entry_bad_settings 1"));
    assert!(metrics.contains("parsleytally_store_calls_total{call=\"range\"}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_team_token_grants_access_to_its_own_subtree_only() {
    let hash = blake3::hash(ADMIN.as_bytes()).to_hex();
    let operators = format!("[operators]\ntoken-hash = {hash}\n");
    let system = System::start(1, 0, &operators).await;
    let put = async |path: &str, body: &str, token: Option<&str>| {
        let path = format!("/v1/settings/{path}");
        let header = token.map(|token| format!("Bearer {token}"));
        let header = header
            .as_ref()
            .map(|value| ("authorization", value.as_str()));
        let headers: Vec<_> = header.into_iter().collect();
        system.send(0, Method::PUT, &path, body, &headers).await
    };
    let token = format!("[token]\nhash = {}\n", blake3::hash(b"demo-token").to_hex());
    assert_eq!(put("demo/token", &token, None).await.status, 401);
    assert_eq!(put("demo/token", &token, Some("x")).await.status, 403);
    let set = put("demo/token", &token, Some(ADMIN)).await;
    assert_eq!(set.status, 200, "{}", set.body);
    system.wait_until_in_force(revision(&set)).await;
    let own = put("demo/batch/count", TASK, Some("demo-token")).await;
    assert_eq!(own.status, 200, "{}", own.body);
    let other = put("other/batch/count", TASK, Some("demo-token")).await;
    assert_eq!(other.status, 403);
    let read = system.get(0, "/v1/settings/demo/batch/count").await;
    assert_eq!(read.status, 401);
    let status = system.get(0, "/v1/status").await.body;
    assert!(!status.contains("demo-token") && !status.contains(ADMIN));
}
