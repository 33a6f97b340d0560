//! The calls of the platform's store.

use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::emulator::history::History;
use crate::emulator::http::{Reply, Request, Service, lock};
use crate::emulator::store::{Item, Store, Txn, TxnFailure};

/// Most items of a page.
const PAGE_ITEMS: usize = 500;

/// Longest wait of a watch.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Most entries of a transaction.
const MAX_TXN_ENTRIES: usize = 32;

/// Longest key in bytes.
const MAX_KEY_BYTES: usize = 200;

/// Shortest and longest lease in milliseconds.
const LEASE_MS: (u64, u64) = (1_000, 600_000);

/// Prefixes of keys that only the operator and the workers write.
const FOREIGN_PREFIXES: [&str; 2] = ["op/", "servers/"];

/// The store with its calls.
#[derive(Debug)]
pub(crate) struct StoreApi {
    store: Mutex<Store>,
    history: Arc<History>,
    /// Whether leases don't end, since the store is down.
    leases_paused: AtomicBool,
    /// The revision after the latest change.
    revision: watch::Sender<u64>,
}

impl StoreApi {
    pub(crate) fn new(store: Store, history: Arc<History>) -> Self {
        let revision = watch::Sender::new(store.revision());
        Self {
            store: Mutex::new(store),
            history,
            leases_paused: AtomicBool::new(false),
            revision,
        }
    }

    /// Keeps leases from ending, until `resume_leases`.
    pub(crate) fn pause_leases(&self) {
        self.leases_paused.store(true, Relaxed);
    }

    /// Lets leases end again; each is longer by the time of the pause.
    pub(crate) fn resume_leases(&self, paused: Duration) {
        lock(&self.store).extend_leases(paused);
        self.leases_paused.store(false, Relaxed);
    }

    /// Gives access to the store, and wakes watches afterwards.
    pub(crate) fn with<T>(&self, act: impl FnOnce(&mut Store, Duration) -> T) -> T {
        let mut store = lock(&self.store);
        let now = self.history.now();
        if !self.leases_paused.load(Relaxed) {
            store.expire(now);
        }
        let result = act(&mut store, now);
        let revision = store.revision();
        drop(store);
        let changed = |known: &mut u64| {
            let later = revision > *known;
            *known = revision.max(*known);
            later
        };
        self.revision.send_if_modified(changed);
        result
    }

    fn key(&self, request: &Request) -> Reply {
        let key = request.query.get("key").map_or("", String::as_str);
        self.with(|store, _| {
            let revision = store.revision();
            match store.get(key) {
                Some(item) => {
                    let mut body = encode(item);
                    body["store_revision"] = revision.into();
                    Reply::new(200, &body)
                }
                None => Reply::new(404, &json!({"store_revision": revision})),
            }
        })
    }

    fn range(&self, request: &Request) -> Reply {
        let text = |name: &str| request.query.get(name).map_or("", String::as_str);
        self.with(|store, _| {
            let (items, has_more) = store.range(text("prefix"), text("after"), PAGE_ITEMS);
            let items: Vec<Value> = items.iter().map(encode).collect();
            let revision = store.revision();
            let body = json!({"items": items, "has_more": has_more, "store_revision": revision});
            Reply::new(200, &body)
        })
    }

    async fn watch(&self, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|v| v.parse::<u64>().ok());
        let prefix = request.query.get("prefix").map_or("", String::as_str);
        let (Some(after), Some(wait_ms)) = (number("after"), number("wait_ms")) else {
            return Reply::empty(400);
        };
        let wait = Duration::from_millis(wait_ms).min(MAX_WATCH_WAIT);
        let until = tokio::time::Instant::now() + wait;
        let mut changed = self.revision.subscribe();
        loop {
            changed.mark_unchanged();
            let found = self.with(|store, _| (store.changes(prefix, after), store.revision()));
            let (Some(events), revision) = found else {
                return Reply::empty(410);
            };
            let over = tokio::time::Instant::now() >= until;
            if !events.is_empty() || over {
                let events: Vec<Value> = events.iter().map(encode).collect();
                return Reply::new(200, &json!({"events": events, "store_revision": revision}));
            }
            // Both outcomes lead to another look.
            let _ = tokio::time::timeout_at(until, changed.changed()).await;
        }
    }

    fn txn(&self, request: &Request) -> Reply {
        let Some(txn) = decode_txn(&request.body) else {
            return Reply::empty(400);
        };
        let keys = || {
            let puts = txn.puts.iter().map(|(key, ..)| key);
            puts.chain(&txn.deletes)
        };
        let entries = txn.expected.len() + txn.puts.len() + txn.deletes.len();
        if entries > MAX_TXN_ENTRIES || keys().any(|k| k.len() > MAX_KEY_BYTES) {
            return Reply::empty(400);
        }
        if keys().any(|k| FOREIGN_PREFIXES.iter().any(|p| k.starts_with(p))) {
            return Reply::empty(403);
        }
        match self.with(|store, now| store.txn(txn, now)) {
            Ok(revision) => Reply::new(200, &json!({"revision": revision})),
            Err(TxnFailure::Conflict(items)) => {
                let items: Vec<Value> = items.iter().map(encode).collect();
                Reply::new(412, &json!({"items": items}))
            }
            Err(TxnFailure::NoLease) => Reply::empty(404),
        }
    }

    fn grant(&self, request: &Request) -> Reply {
        #[derive(Deserialize)]
        struct Wanted {
            ttl_ms: u64,
        }
        let Ok(wanted) = serde_json::from_slice::<Wanted>(&request.body) else {
            return Reply::empty(400);
        };
        let ttl_ms = wanted.ttl_ms.clamp(LEASE_MS.0, LEASE_MS.1);
        let lease = self.with(|store, now| store.grant(Duration::from_millis(ttl_ms), now));
        Reply::new(200, &json!({"lease": lease, "ttl_ms": ttl_ms}))
    }

    fn renew(&self, lease: u64) -> Reply {
        match self.with(|store, now| store.renew(lease, now)) {
            Some(length) => Reply::new(200, &json!({"ttl_ms": length.as_millis() as u64})),
            None => Reply::empty(404),
        }
    }
}

impl Service for StoreApi {
    async fn serve(&self, request: Request) -> Reply {
        let lease = |prefix: &str| request.path.strip_prefix(prefix)?.parse::<u64>().ok();
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/kv-key") => self.key(&request),
            ("GET", "/kv-range") => self.range(&request),
            ("GET", "/kv-watch") => self.watch(&request).await,
            ("POST", "/kv-txn") => self.txn(&request),
            ("POST", "/kv-lease") => self.grant(&request),
            ("POST", _) => lease("/kv-keep/").map_or(Reply::empty(400), |l| self.renew(l)),
            ("DELETE", _) => match lease("/kv-lease-end/") {
                Some(lease) => match self.with(|store, now| store.end_lease(lease, now)) {
                    true => Reply::empty(200),
                    false => Reply::empty(404),
                },
                None => Reply::empty(400),
            },
            _ => Reply::empty(400),
        }
    }
}

fn encode(item: &Item) -> Value {
    match &item.value {
        Some(value) => json!({
            "key": item.key,
            "value": BASE64_STANDARD.encode(value),
            "revision": item.revision,
            "created": item.created,
            "lease": item.lease,
        }),
        None => json!({"key": item.key, "revision": item.revision, "tombstone": true}),
    }
}

fn decode_txn(body: &[u8]) -> Option<Txn> {
    #[derive(Deserialize)]
    struct Expected {
        key: String,
        revision: u64,
    }
    #[derive(Deserialize)]
    struct Put {
        key: String,
        value: String,
        #[serde(default)]
        lease: u64,
    }
    #[derive(Deserialize)]
    struct Body {
        #[serde(default)]
        expected: Vec<Expected>,
        #[serde(default)]
        puts: Vec<Put>,
        #[serde(default)]
        deletes: Vec<String>,
    }
    let body: Body = serde_json::from_slice(body).ok()?;
    let put = |p: Put| Some((p.key, BASE64_STANDARD.decode(p.value).ok()?, p.lease));
    let expected = body.expected.into_iter().map(|e| (e.key, e.revision));
    Some(Txn {
        expected: expected.collect(),
        puts: body.puts.into_iter().map(put).collect::<Option<_>>()?,
        deletes: body.deletes,
    })
}
