//! Stand-in of the platform's metadata store, in memory. Each process has an address of its own.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Channels, Request};
use crate::json::{Value, base64, table};

/// Time of an answer.
const ANSWER: Duration = Duration::from_millis(4);
const PAGE: usize = 500;
const TTL_MIN_MS: u64 = 1_000;

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Value>,
    /// Changes with their revisions, as a watch answers them.
    history: Vec<(u64, Value)>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

struct Lease {
    ttl_ms: u64,
    end: Instant,
}

impl Data {
    fn put(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let old = self.items.get(key);
        let created = old.map_or(revision, |item| item.number("created"));
        let item = table()
            .with("key", key)
            .with("value", value)
            .with("revision", revision)
            .with("created", created)
            .with("lease", lease);
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((revision, item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let event = table()
                .with("key", key)
                .with("revision", self.revision)
                .with("deleted", true);
            self.history.push((self.revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let leased = self
            .items
            .iter()
            .filter(|(_, item)| item.number("lease") == lease);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
    }

    fn commit(&mut self, txn: &Value) -> (u16, Value) {
        let present = |row: &Value| {
            self.items
                .get(row.text("key"))
                .map_or(0, |item| item.number("revision"))
        };
        if txn
            .rows("expect")
            .iter()
            .any(|row| present(row) != row.number("revision"))
        {
            let items = txn.rows("expect").iter();
            let items = items.filter_map(|row| self.items.get(row.text("key")).cloned());
            return (412, table().with("items", items.collect::<Vec<_>>()));
        }
        let mut leases = txn.rows("set_keys").iter().map(|row| row.number("lease"));
        if leases.any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, table());
        }
        self.revision += 1;
        for row in txn.rows("set_keys") {
            self.put(row.text("key"), row.text("value"), row.number("lease"));
        }
        for key in txn.rows("remove") {
            self.remove(key.as_text());
        }
        (200, table().with("revision", self.revision))
    }
}

pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            data: Mutex::new(Data {
                revision: 1,
                ..Data::default()
            }),
            changed: Condvar::new(),
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                let mut data = expiring.data.lock().unwrap();
                let now = Instant::now();
                let ended = data.leases.iter().filter(|(_, lease)| lease.end <= now);
                let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
                ended.iter().for_each(|lease| data.end_lease(*lease));
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// Serves one process.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> std::io::Result<Arc<Channels>> {
        let store = self.clone();
        http::serve(address, Arc::new(move |request| store.answer(&request)))
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &Value) {
        let mut data = self.data.lock().unwrap();
        data.revision += 1;
        data.put(key, &base64(value.to_string().as_bytes()), 0);
        drop(data);
        self.changed.notify_all();
    }

    /// Keys below a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let data = self.data.lock().unwrap();
        data.items
            .keys()
            .filter(|key| key.starts_with(prefix))
            .cloned()
            .collect()
    }

    fn answer(&self, request: &Request) -> Answer {
        if request.path == "/api/kv-watch" {
            let (status, body) = self.watch(request);
            return Some((status, body.to_string()));
        }
        std::thread::sleep(ANSWER);
        let (status, body) = self.call(request);
        self.changed.notify_all();
        Some((status, body.to_string()))
    }

    fn call(&self, request: &Request) -> (u16, Value) {
        let mut data = self.data.lock().unwrap();
        let body = Value::parse(&request.body).unwrap_or(Value::Null);
        let query = |name: &str| request.query.get(name).cloned().unwrap_or_default();
        let id = request
            .path
            .rsplit('/')
            .next()
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        match request.path.as_str() {
            "/api/kv-key" => match data.items.get(&query("key")) {
                Some(item) => (200, item.clone().with("store_revision", data.revision)),
                None => (404, table()),
            },
            "/api/kv-range" => {
                let (prefix, after) = (query("prefix"), query("after"));
                let found = data.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let mut found = found.map(|(_, item)| item.clone());
                let items: Vec<Value> = found.by_ref().take(PAGE).collect();
                let has_more = found.next().is_some();
                let page = table().with("items", items).with("has_more", has_more);
                (200, page.with("store_revision", data.revision))
            }
            "/api/kv-txn" => data.commit(&body),
            "/api/kv-lease" => {
                let ttl_ms = body.number("ttl_ms").max(TTL_MIN_MS);
                data.last_lease += 1;
                let lease = data.last_lease;
                let end = Instant::now() + Duration::from_millis(ttl_ms);
                data.leases.insert(lease, Lease { ttl_ms, end });
                (200, table().with("lease", lease).with("ttl_ms", ttl_ms))
            }
            path if path.starts_with("/api/kv-keep/") => match data.leases.get_mut(&id) {
                Some(lease) => {
                    lease.end = Instant::now() + Duration::from_millis(lease.ttl_ms);
                    (200, table().with("lease", id).with("ttl_ms", lease.ttl_ms))
                }
                None => (404, table()),
            },
            path if path.starts_with("/api/kv-lease-end/") => {
                data.end_lease(id);
                (200, table())
            }
            _ => (404, table()),
        }
    }

    fn watch(&self, request: &Request) -> (u16, Value) {
        let number = |name: &str| {
            request
                .query
                .get(name)
                .and_then(|text| text.parse().ok())
                .unwrap_or(0)
        };
        let prefix = request.query.get("prefix").cloned().unwrap_or_default();
        let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
        let end = Instant::now() + wait;
        let mut data = self.data.lock().unwrap();
        loop {
            let events = data.history.iter();
            let events = events.filter(|(revision, event)| {
                *revision > after && event.text("key").starts_with(&prefix)
            });
            let events: Vec<Value> = events.map(|(_, event)| event.clone()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let answer = table()
                    .with("events", events)
                    .with("store_revision", data.revision);
                return (200, answer);
            }
            data = self.changed.wait_timeout(data, end - now).unwrap().0;
        }
    }
}
