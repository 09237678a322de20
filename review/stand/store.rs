//! Stand-in of the platform's metadata store, as PROTOCOL.md describes it, in memory.
//!
//! Each process reaches it at an address of its own, where it can be made silent.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, number, object, text};

/// Items on one page.
const PAGE: usize = 500;
/// Least time to live of a lease, in milliseconds.
const TTL_MIN_MS: u64 = 1_000;
/// Time between two looks at the leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);
/// Time for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change as a watch answers it, with its key and revision.
    history: Vec<(String, u64, Json)>,
    leases: HashMap<u64, (u64, Instant)>,
    last_lease: u64,
}

/// Writes that lose their answers: those of keys that end with a text.
#[derive(Default)]
struct Losses {
    suffix: Option<String>,
    /// What becomes of the next ones; the last one is for all further ones.
    next: VecDeque<Write>,
    lost: usize,
    answered: usize,
}

/// The store.
#[derive(Default)]
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
    losses: Mutex<Losses>,
}

/// The store as one process reaches it.
pub struct Access {
    /// When this process last renewed a lease.
    renewed: Arc<Mutex<Option<Instant>>>,
    _server: Server,
}

/// What becomes of a write that is not answered.
#[derive(Debug, Clone, Copy)]
pub enum Write {
    /// It is not carried out.
    Lost,
    /// It is carried out after this time.
    Late(Duration),
}

impl Access {
    /// When the process last renewed a lease.
    pub fn renewed(&self) -> Option<Instant> {
        *self.renewed.lock().unwrap()
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    object([
        ("key", text(key)),
        ("value", text(&item.value)),
        ("revision", number(item.revision)),
        ("created", number(item.created)),
        ("lease", number(item.lease)),
    ])
}

impl Data {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item {
            value: value.to_owned(),
            revision,
            created,
            lease,
        };
        self.history
            .push((key.to_owned(), revision, item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event = object([
                ("key", text(key)),
                ("revision", number(revision)),
                ("deleted", Json::Bool(true)),
            ]);
            self.history.push((key.to_owned(), revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let items = self.items.iter();
        let keys: Vec<String> = items
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, (_, end))| *end <= now);
        let ended: Vec<u64> = ended.map(|(lease, _)| *lease).collect();
        ended.iter().for_each(|lease| self.end_lease(*lease));
        !ended.is_empty()
    }

    fn txn(&mut self, body: &Json) -> (u16, Json) {
        for expect in body.get("expect").list() {
            let key = expect.get("key").text();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            if revision != expect.get("revision").number() {
                let item = self.items.get(key).map(|item| item_json(key, item));
                let items = Json::List(item.into_iter().collect());
                return (412, object([("items", items)]));
            }
        }
        for set in body.get("set_keys").list() {
            let lease = set.get("lease").number();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, object([]));
            }
        }
        self.revision += 1;
        for set in body.get("set_keys").list() {
            let lease = set.get("lease").number();
            self.put(set.get("key").text(), set.get("value").text(), lease);
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, object([("revision", number(self.revision))]))
    }

    fn lease_call(&mut self, path: &str, body: &Json) -> (u16, Json) {
        if path == "/api/kv-lease" {
            let ttl_ms = body.get("ttl_ms").number().max(TTL_MIN_MS);
            self.last_lease += 1;
            let end = Instant::now() + Duration::from_millis(ttl_ms);
            self.leases.insert(self.last_lease, (ttl_ms, end));
            let lease = number(self.last_lease);
            return (200, object([("lease", lease), ("ttl_ms", number(ttl_ms))]));
        }
        let (call, id) = path.rsplit_once('/').unwrap_or_default();
        let id = id.parse().unwrap_or(0);
        let Some(lease) = self.leases.get_mut(&id) else {
            return (404, object([]));
        };
        lease.1 = Instant::now() + Duration::from_millis(lease.0);
        let ttl_ms = lease.0;
        if call == "/api/kv-lease-end" {
            self.end_lease(id);
        }
        (
            200,
            object([("lease", number(id)), ("ttl_ms", number(ttl_ms))]),
        )
    }

    fn range(&self, request: &Request) -> Json {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let (prefix, after) = (query("prefix"), query("after"));
        let found = self.items.range(prefix.clone()..);
        let mut found = found
            .take_while(|(key, _)| key.starts_with(&prefix))
            .filter(|(key, _)| **key > after);
        let items = found.by_ref().take(PAGE);
        let items = items.map(|(key, item)| item_json(key, item)).collect();
        let has_more = found.next().is_some();
        object([
            ("items", Json::List(items)),
            ("has_more", Json::Bool(has_more)),
            ("store_revision", number(self.revision)),
        ])
    }
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self::default());
        store.data.lock().unwrap().revision = 1;
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(EXPIRY_INTERVAL);
                if expiring.data.lock().unwrap().expire() {
                    expiring.changed.notify_all();
                }
            }
        });
        store
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &Json) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.put(key, &base64(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Leaves the writes of keys that end with `suffix` without an answer; the last of `next` is
    /// for all further ones.
    pub fn lose_answers(&self, suffix: &str, next: &[Write]) {
        let mut losses = self.losses.lock().unwrap();
        *losses = Losses {
            suffix: Some(suffix.to_owned()),
            next: next.iter().copied().collect(),
            ..Losses::default()
        };
    }

    /// Answers all writes again; returns how many were not answered, and how many were.
    pub fn end_losses(&self) -> (usize, usize) {
        let losses = std::mem::take(&mut *self.losses.lock().unwrap());
        (losses.lost, losses.answered)
    }

    /// What becomes of a write, if it loses its answer.
    fn loss(&self, request: &Request) -> Option<Write> {
        let mut losses = self.losses.lock().unwrap();
        let suffix = losses.suffix.clone()?;
        let body = Json::parse(&request.body)?;
        let sets = body.get("set_keys").list();
        if !sets
            .iter()
            .any(|set| set.get("key").text().ends_with(&suffix))
        {
            losses.answered += 1;
            return None;
        }
        losses.lost += 1;
        if losses.next.len() > 1 {
            losses.next.pop_front()
        } else {
            losses.next.front().copied()
        }
    }

    /// Serves the store at `address`.
    pub fn access(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Access> {
        let renewed: Arc<Mutex<Option<Instant>>> = Arc::default();
        let (store, renewals) = (self.clone(), renewed.clone());
        let handler = move |request: Request| {
            if request.path.starts_with("/api/kv-keep/") {
                *renewals.lock().unwrap() = Some(Instant::now());
            }
            if request.path == "/api/kv-txn"
                && let Some(loss) = store.loss(&request)
            {
                if let Write::Late(time) = loss {
                    thread::sleep(time);
                    store.answer(&request);
                }
                return None;
            }
            thread::sleep(ANSWER_TIME);
            store.answer(&request)
        };
        let server = Server::start(address, Arc::new(handler))?;
        Ok(Access {
            renewed,
            _server: server,
        })
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.method == "GET" {
            return Some(match request.path.as_str() {
                "/api/kv-watch" => (200, self.watch(request).to_string()),
                "/api/kv-range" => {
                    let data = self.data.lock().unwrap();
                    (200, data.range(request).to_string())
                }
                _ => (404, "{}".to_owned()),
            });
        }
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut data = self.data.lock().unwrap();
        data.expire();
        let (status, answer) = match request.path.as_str() {
            "/api/kv-txn" => data.txn(&body),
            path => data.lease_call(path, &body),
        };
        drop(data);
        self.changed.notify_all();
        Some((status, answer.to_string()))
    }

    fn watch(&self, request: &Request) -> Json {
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let prefix = query("prefix");
        let after: u64 = query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(query("wait_ms").parse().unwrap_or(0));
        let end = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        loop {
            let start = data
                .history
                .partition_point(|(_, revision, _)| *revision <= after);
            let events = data.history[start..].iter();
            let events: Vec<Json> = events
                .filter(|(key, _, _)| key.starts_with(&prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return object([
                    ("events", Json::List(events)),
                    ("store_revision", number(data.revision)),
                ]);
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let part = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = part(0) << 16 | part(1) << 8 | part(2);
        for at in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * at)) as usize & 63];
            let is_padding = at > chunk.len();
            text.push(if is_padding { '=' } else { char::from(sign) });
        }
    }
    text
}
