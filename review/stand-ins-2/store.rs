//! Stand-in of the platform's metadata store, with an address of its own for each process, so that
//! it can turn single machines away.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Handler, Reply, Request, Server};
use crate::json::{Json, base64};

const PAGE: usize = 500;
const LEAST_TTL_MS: u64 = 1_000;

/// What the store does with the calls of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mood {
    Well,
    /// Answers 503 and does nothing.
    Busy,
}

struct Lease {
    ttl_ms: u64,
    ends: Instant,
    /// Number of the process that holds it.
    holder: usize,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Json>,
    history: Vec<Json>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
    moods: Vec<Mood>,
}

impl Data {
    fn put(&mut self, row: &Json) {
        let key = row.get("key").text().to_owned();
        let revision = self.revision;
        let old = self.items.get(&key);
        let created = old.map_or(revision, |item| item.get("created").number());
        let item = Json::object([
            ("key", key.as_str().into()),
            ("value", row.get("value").clone()),
            ("revision", revision.into()),
            ("created", created.into()),
            ("lease", row.get("lease").number().into()),
        ]);
        self.items.insert(key, item.clone());
        self.history.push(item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push(Json::object([
                ("key", key.into()),
                ("revision", self.revision.into()),
                ("deleted", Json::Bool(true)),
            ]));
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let held = self
            .items
            .iter()
            .filter(|(_, item)| item.get("lease").number() == id);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        self.revision += u64::from(!keys.is_empty());
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|id| self.end_lease(id));
    }

    fn commit(&mut self, body: &Json) -> (u16, Json) {
        let revision_of = |key: &str| {
            let item = self.items.get(key);
            item.map_or(0, |item| item.get("revision").number())
        };
        let differs =
            |row: &Json| revision_of(row.get("key").text()) != row.get("revision").number();
        if body.get("expect").list().iter().any(differs) {
            return (412, Json::object([("items", Vec::new().into())]));
        }
        let rows = body.get("set_keys").list();
        let mut leases = rows.iter().map(|row| row.get("lease").number());
        if leases.any(|id| id != 0 && !self.leases.contains_key(&id)) {
            return (404, Json::object([]));
        }
        self.revision += 1;
        rows.iter().for_each(|row| self.put(row));
        body.get("remove")
            .list()
            .iter()
            .for_each(|key| self.remove(key.text()));
        (200, Json::object([("revision", self.revision.into())]))
    }

    fn lease_call(&mut self, path: &str, body: &Json, holder: usize) -> (u16, Json) {
        if path == "/api/kv-lease" {
            let ttl_ms = body.get("ttl_ms").number().max(LEAST_TTL_MS);
            let ends = Instant::now() + Duration::from_millis(ttl_ms);
            self.last_lease += 1;
            self.leases.insert(
                self.last_lease,
                Lease {
                    ttl_ms,
                    ends,
                    holder,
                },
            );
            let answer = [("lease", self.last_lease.into()), ("ttl_ms", ttl_ms.into())];
            return (200, Json::object(answer));
        }
        let (call, id) = path.rsplit_once('/').unwrap_or_default();
        let id = id.parse().unwrap_or(0);
        let Some(lease) = self.leases.get_mut(&id) else {
            return (404, Json::object([]));
        };
        lease.ends = Instant::now() + Duration::from_millis(lease.ttl_ms);
        let answer = Json::object([("ttl_ms", lease.ttl_ms.into())]);
        if call == "/api/kv-lease-end" {
            self.end_lease(id);
        }
        (200, answer)
    }

    fn range(&self, request: &Request) -> Json {
        let (prefix, after) = (request.parameter("prefix"), request.parameter("after"));
        let start = if after >= prefix {
            Bound::Excluded(after)
        } else {
            Bound::Included(prefix.clone())
        };
        let found = self.items.range((start, Bound::Unbounded));
        let mut found = found.take_while(|(key, _)| key.starts_with(&prefix));
        let items: Vec<Json> = found
            .by_ref()
            .take(PAGE)
            .map(|(_, item)| item.clone())
            .collect();
        let has_more = found.next().is_some();
        Json::object([
            ("items", items.into()),
            ("has_more", Json::Bool(has_more)),
            ("store_revision", self.revision.into()),
        ])
    }

    fn changes(&self, prefix: &str, after: u64) -> Vec<Json> {
        let is_known = |change: &Json| change.get("revision").number() <= after;
        let changes = self.history[self.history.partition_point(is_known)..].iter();
        let changes = changes.filter(|change| change.get("key").text().starts_with(prefix));
        changes.cloned().collect()
    }
}

/// The store.
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let data = Data {
            revision: 1,
            ..Data::default()
        };
        let store = Arc::new(Self {
            data: Mutex::new(data),
            changed: Condvar::new(),
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                expiring.data.lock().unwrap().expire();
                expiring.changed.notify_all();
            }
        });
        store
    }

    /// An address of the store for one more process; returns its number and the address.
    pub fn open(self: &Arc<Self>) -> (usize, SocketAddr) {
        let number = {
            let mut data = self.data.lock().unwrap();
            data.moods.push(Mood::Well);
            data.moods.len() - 1
        };
        let store = self.clone();
        let handler: Handler = Arc::new(move |request| store.serve(number, &request));
        (number, Server::start(handler).address)
    }

    pub fn set(&self, process: usize, mood: Mood) {
        self.data.lock().unwrap().moods[process] = mood;
    }

    /// Ends all leases of a process at once, with their keys.
    pub fn revoke(&self, process: usize) -> usize {
        let mut data = self.data.lock().unwrap();
        let held = data
            .leases
            .iter()
            .filter(|(_, lease)| lease.holder == process);
        let held: Vec<u64> = held.map(|(id, _)| *id).collect();
        let before = data.items.len();
        held.into_iter().for_each(|id| data.end_lease(id));
        self.changed.notify_all();
        before - data.items.len()
    }

    /// Writes a key as the operator does.
    pub fn write(&self, key: &str, value: &Json) {
        let value = base64(value.to_string().as_bytes());
        let row = Json::object([("key", key.into()), ("value", value.as_str().into())]);
        let body = Json::object([("set_keys", vec![row].into())]);
        self.data.lock().unwrap().commit(&body);
        self.changed.notify_all();
    }

    /// Copies of the items of one job under the keys of `count` further jobs, as if those had been
    /// stored one after the other.
    pub fn copy_job(&self, id: &str, count: u64) {
        let mut data = self.data.lock().unwrap();
        let own = data.items.iter().filter(|(key, _)| key.ends_with(id));
        let own: Vec<(String, Json)> = own.map(|(key, item)| (key.clone(), item.clone())).collect();
        for number in 0..count {
            data.revision += 1;
            let revision = data.revision;
            for (key, item) in &own {
                let key = key.replace(id, &format!("{:016x}", 0x7000_0000_0000_0000 + number));
                let mut item = item.clone();
                item.set("key", key.as_str().into());
                item.set("revision", revision.into());
                item.set("created", revision.into());
                data.items.insert(key, item);
            }
        }
    }

    fn serve(&self, process: usize, request: &Request) -> Reply {
        let mut data = self.data.lock().unwrap();
        let mood = data.moods[process];
        match mood {
            Mood::Busy => return Reply::Answer(503, "{}".to_owned()),
            Mood::Well => {}
        }
        let body = Json::parse(&request.body);
        let (status, answer) = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-key") => {
                let item = data.items.get(&request.parameter("key"));
                item.map_or((404, Json::object([])), |item| (200, item.clone()))
            }
            ("GET", "/api/kv-range") => (200, data.range(request)),
            ("GET", "/api/kv-watch") => {
                drop(data);
                let answer = self.watch(request);
                data = self.data.lock().unwrap();
                (200, answer)
            }
            ("POST", "/api/kv-txn") => data.commit(&body),
            (_, path) => data.lease_call(path, &body, process),
        };
        self.changed.notify_all();
        // A process that is turned away meanwhile gets no answer either.
        if data.moods[process] != mood {
            return Reply::Drop;
        }
        Reply::Answer(status, answer.to_string())
    }

    fn watch(&self, request: &Request) -> Json {
        let prefix = request.parameter("prefix");
        let after = request.parameter("after").parse().unwrap_or(0);
        let wait = request.parameter("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut data = self.data.lock().unwrap();
        loop {
            let events = data.changes(&prefix, after);
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return Json::object([
                    ("events", events.into()),
                    ("store_revision", data.revision.into()),
                ]);
            }
            data = self.changed.wait_timeout(data, left).unwrap().0;
        }
    }
}
