//! The platform's key-value store, and the link of each host to it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::ops::Bound;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, quote};

/// Time in which the store answers a call.
const ANSWER: Duration = Duration::from_millis(4);

/// How long a change stays in the history.
const HISTORY: Duration = Duration::from_secs(20);

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

struct Change {
    at: Instant,
    revision: u64,
    key: String,
    /// `None` if the key was removed.
    item: Option<Item>,
}

struct Lease {
    ttl: Duration,
    ends: Instant,
}

struct Content {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Change>,
    /// Revision up to which the history is gone.
    discarded: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

/// How the store answers a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Link {
    Fine,
    /// Does nothing and never answers.
    Silent,
}

pub struct Store {
    content: Mutex<Content>,
    changed: Condvar,
    links: Mutex<Vec<Link>>,
    /// When each host last renewed a lease.
    renewed: Mutex<Vec<Option<Instant>>>,
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

fn encode(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let n = chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for i in 0..4 {
            match i <= chunk.len() {
                true => out.push(SET[(n >> (18 - 6 * i)) as usize & 63] as char),
                false => out.push('='),
            }
        }
    }
    out
}

impl Content {
    fn set(&mut self, key: &str, value: Option<(String, u64)>) {
        let old = self.items.remove(key);
        let item = value.map(|(value, lease)| Item {
            value,
            revision: self.revision,
            created: old.as_ref().map_or(self.revision, |o| o.created),
            lease,
        });
        if let Some(item) = &item {
            self.items.insert(key.to_owned(), item.clone());
        }
        if item.is_some() || old.is_some() {
            let (at, revision, key) = (Instant::now(), self.revision, key.to_owned());
            self.history.push_back(Change {
                at,
                revision,
                key,
                item,
            });
        }
    }

    fn end_leases(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, l)| l.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &ended {
            self.end_lease(*id);
        }
        while self.history.front().is_some_and(|c| now - c.at > HISTORY) {
            if let Some(c) = self.history.pop_front() {
                self.discarded = c.revision;
            }
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, id: u64) -> bool {
        if self.leases.remove(&id).is_none() {
            return false;
        }
        let bound: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == id)
            .map(|(k, _)| k.clone())
            .collect();
        if !bound.is_empty() {
            self.revision += 1;
        }
        for key in bound {
            self.set(&key, None);
        }
        true
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "\"key\":{},\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}",
        quote(key),
        item.value,
        item.revision,
        item.created,
        item.lease
    )
}

fn answer(status: u16, body: String) -> Reply {
    Reply::Answer(status, body)
}

impl Store {
    pub fn new(hosts: usize) -> Arc<Store> {
        let content = Content {
            revision: 1,
            items: BTreeMap::new(),
            history: VecDeque::new(),
            discarded: 0,
            leases: HashMap::new(),
            next_lease: 1,
        };
        Arc::new(Store {
            content: Mutex::new(content),
            changed: Condvar::new(),
            links: Mutex::new(vec![Link::Fine; hosts]),
            renewed: Mutex::new(vec![None; hosts]),
        })
    }

    pub fn set_link(&self, host: usize, link: Link) {
        lock(&self.links)[host] = link;
        self.changed.notify_all();
    }

    /// The host that seems to lead: it was the last to renew a lease.
    pub fn leader(&self) -> Option<usize> {
        let renewed = lock(&self.renewed);
        let last = renewed
            .iter()
            .enumerate()
            .filter_map(|(i, at)| Some((*at.as_ref()?, i)));
        last.max()
            .filter(|(at, _)| at.elapsed() < Duration::from_millis(900))
            .map(|(_, i)| i)
    }

    /// Writes a key of the operator or a runner, or removes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        let mut c = lock(&self.content);
        c.revision += 1;
        let value = value.map(|v| (encode(v.as_bytes()), 0));
        c.set(key, value);
        self.changed.notify_all();
    }

    /// Ends what is due; to be called often.
    pub fn tick(&self) {
        if lock(&self.content).end_leases(Instant::now()) {
            self.changed.notify_all();
        }
    }

    pub fn serve(&self, host: usize, request: &Request) -> Reply {
        let link = || lock(&self.links)[host];
        match link() {
            Link::Fine => std::thread::sleep(ANSWER),
            Link::Silent => return Reply::Silent,
        }
        if request.path.starts_with("/kv-keep/") {
            lock(&self.renewed)[host] = Some(Instant::now());
        }
        let reply = match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.get(request.query("key")),
            ("GET", "/kv-range") => self.range(request.query("prefix"), request.query("after")),
            ("GET", "/kv-watch") => return self.watch(host, request),
            ("POST", "/kv-txn") => self.txn(&request.body),
            ("POST", "/kv-lease") => self.grant(&request.body),
            ("POST", p) if p.starts_with("/kv-keep/") => self.keep(&p[9..]),
            ("DELETE", p) if p.starts_with("/kv-lease-end/") => self.end(&p[14..]),
            _ => answer(404, "{}".into()),
        };
        match link() {
            Link::Silent => Reply::Silent,
            _ => reply,
        }
    }

    fn get(&self, key: &str) -> Reply {
        let c = lock(&self.content);
        match c.items.get(key) {
            Some(i) => answer(
                200,
                format!("{{{},\"store_revision\":{}}}", row(key, i), c.revision),
            ),
            None => answer(404, format!("{{\"store_revision\":{}}}", c.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let c = lock(&self.content);
        let from = match after > prefix {
            true => Bound::Excluded(after.to_owned()),
            false => Bound::Included(prefix.to_owned()),
        };
        let mut items = Vec::new();
        let mut more = false;
        for (key, item) in c.items.range((from, Bound::Unbounded)) {
            if !key.starts_with(prefix) {
                break;
            }
            if items.len() == 500 {
                more = true;
                break;
            }
            items.push(format!("{{{}}}", row(key, item)));
        }
        let items = items.join(",");
        answer(
            200,
            format!(
                "{{\"items\":[{items}],\"has_more\":{more},\"store_revision\":{}}}",
                c.revision
            ),
        )
    }

    fn watch(&self, host: usize, request: &Request) -> Reply {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = request.query("wait_ms").parse().unwrap_or(0).min(30_000);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut c = lock(&self.content);
        loop {
            match lock(&self.links)[host] {
                Link::Silent => return Reply::Silent,
                _ => {}
            }
            if after < c.discarded {
                return answer(410, "{}".into());
            }
            let new = c.history.iter().rev().take_while(|h| h.revision > after);
            let new: Vec<&Change> = new.filter(|h| h.key.starts_with(prefix)).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                let events = new.iter().rev().map(|h| match &h.item {
                    Some(item) => format!("{{{}}}", row(&h.key, item)),
                    None => format!(
                        "{{\"key\":{},\"revision\":{},\"tombstone\":true}}",
                        quote(&h.key),
                        h.revision
                    ),
                });
                let events = events.collect::<Vec<_>>().join(",");
                return answer(
                    200,
                    format!(
                        "{{\"events\":[{events}],\"store_revision\":{}}}",
                        c.revision
                    ),
                );
            }
            c = match self.changed.wait_timeout(c, left) {
                Ok((c, _)) => c,
                Err(e) => e.into_inner().0,
            };
        }
    }

    fn txn(&self, body: &[u8]) -> Reply {
        let Some(txn) = Json::parse(body) else {
            return answer(400, "{}".into());
        };
        let mut c = lock(&self.content);
        let mut failed = false;
        let mut rows = Vec::new();
        for e in txn.list("expected") {
            let item = c.items.get(e.text("key"));
            failed |= item.map_or(0, |i| i.revision) != e.int("revision");
            rows.extend(item.map(|i| format!("{{{}}}", row(e.text("key"), i))));
        }
        if failed {
            return answer(412, format!("{{\"items\":[{}]}}", rows.join(",")));
        }
        let puts = txn.list("puts");
        if puts
            .iter()
            .any(|p| p.int("lease") != 0 && !c.leases.contains_key(&p.int("lease")))
        {
            return answer(404, "{}".into());
        }
        if puts
            .iter()
            .any(|p| p.text("key").starts_with("op/") || p.text("value").len() > 1_398_104)
        {
            return answer(400, "{}".into());
        }
        c.revision += 1;
        for p in puts {
            let value = (p.text("value").to_owned(), p.int("lease"));
            c.set(p.text("key"), Some(value));
        }
        for key in txn.list("deletes").iter().filter_map(Json::as_text) {
            c.set(key, None);
        }
        self.changed.notify_all();
        answer(200, format!("{{\"revision\":{}}}", c.revision))
    }

    fn grant(&self, body: &[u8]) -> Reply {
        let ttl = Json::parse(body)
            .map_or(0, |b| b.int("ttl_ms"))
            .clamp(1_000, 600_000);
        let mut c = lock(&self.content);
        let id = c.next_lease;
        c.next_lease += 1;
        let ttl = Duration::from_millis(ttl);
        c.leases.insert(
            id,
            Lease {
                ttl,
                ends: Instant::now() + ttl,
            },
        );
        answer(
            200,
            format!("{{\"lease\":{id},\"ttl_ms\":{}}}", ttl.as_millis()),
        )
    }

    fn keep(&self, id: &str) -> Reply {
        let mut c = lock(&self.content);
        c.end_leases(Instant::now());
        match id.parse().ok().and_then(|id: u64| c.leases.get_mut(&id)) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                answer(200, format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => answer(404, "{}".into()),
        }
    }

    fn end(&self, id: &str) -> Reply {
        let mut c = lock(&self.content);
        let ended = id.parse().is_ok_and(|id| c.end_lease(id));
        self.changed.notify_all();
        answer(if ended { 200 } else { 404 }, "{}".into())
    }
}
