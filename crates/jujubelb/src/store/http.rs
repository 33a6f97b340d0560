//! Adapter of the store over HTTP with JSON; `api` describes the interface.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use reqwest::Url;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::api::{
    DeleteRequest, EmptyResponse, EntryResponse, ErrorResponse, GrantRequest, GrantResponse,
    LeaseRequest, ListResponse, PutRequest, PutResponse,
};
use super::pace::{Kind, Pace};
use super::{Entry, Expect, LeaseId, MAX_VALUE_BYTES, Store, StoreError, Version};
use crate::http::{self, CallError, HttpClient, HttpResponse};
use crate::model::Span;
use crate::telemetry::{self, Clock, Metrics};

/// Time and size limits of a call.
const LIMITS: http::Limits = http::Limits {
    connect: Span::from_millis(500),
    // The store answers in milliseconds; regions are 12 ms apart.
    total: Span::from_secs(2),
    // 4 MiB of values as hexadecimal text, with their keys.
    max_bytes: 10 << 20,
};

/// Longest wait for the process's own pace before a call is refused.
const LONGEST_WAIT: Span = Span::from_millis(1_000);

/// The store over HTTP.
#[derive(Debug)]
pub struct HttpStore {
    address: SocketAddr,
    http: HttpClient,
    clock: Clock,
    pace: Mutex<Pace>,
    calls: Counter<u64>,
    durations: Histogram<f64>,
}

impl HttpStore {
    /// An adapter for the store at this address, for one of `processes` processes.
    pub fn new(
        address: SocketAddr,
        clock: Clock,
        metrics: &Metrics,
        processes: usize,
    ) -> Result<Self, StoreError> {
        let http =
            HttpClient::new(LIMITS).map_err(|e| StoreError::Refused(http::error_chain(&e)))?;
        Ok(Self {
            address,
            http,
            pace: Mutex::new(Pace::new(clock.now(), processes)),
            calls: metrics.counter(&telemetry::STORE_CALLS),
            durations: metrics.duration_histogram(&telemetry::STORE_CALL_DURATION),
            clock,
        })
    }

    /// Sets the number of processes that share the store's rates.
    pub fn set_processes(&self, processes: usize) {
        self.pace().set_processes(processes);
    }

    /// Sets the number of shards that this process owns.
    pub fn set_shards(&self, shards: usize) {
        self.pace().set_shards(shards);
    }

    fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn url(&self, path: &str, query: &[(&str, &str)]) -> Url {
        http::url_with_query(self.address, path, query)
    }

    /// Waits for the process's pace, up to a bound.
    fn admit(&self, kind: Kind) -> Result<(), StoreError> {
        let start = self.clock.now();
        loop {
            let now = self.clock.now();
            let wait = match self.pace().admit(now, kind) {
                Ok(()) => return Ok(()),
                Err(wait) => wait,
            };
            if (now + wait).since(start) > LONGEST_WAIT {
                let text = format!("calls are paced; the next one may start in {wait}");
                return Err(StoreError::Refused(text));
            }
            std::thread::sleep(wait.to_std());
        }
    }

    fn read<T: DeserializeOwned>(&self, url: Url, wait: Span) -> Result<T, StoreError> {
        self.admit(Kind::Read)?;
        let answer = self.observe("read", || self.http.get(url, wait))?;
        interpret(&answer)
    }

    /// A malformed answer to a write tells nothing of the effect, so it counts as lost.
    fn write<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, StoreError> {
        self.admit(Kind::Write)?;
        let answer = self.observe("write", || self.http.post(self.url(path, &[]), body))?;
        interpret(&answer).map_err(|error| match error {
            StoreError::Malformed(text) => StoreError::Unknown(text),
            error => error,
        })
    }

    fn observe(
        &self,
        kind: &'static str,
        call: impl FnOnce() -> Result<HttpResponse, CallError>,
    ) -> Result<HttpResponse, StoreError> {
        let began = self.clock.now();
        let result = call();
        let took = self.clock.now().since(began).as_secs_f64();
        let well = result.as_ref().is_ok_and(|answer| answer.status < 500);
        let kind = KeyValue::new("kind", kind);
        let label = KeyValue::new("result", if well { "ok" } else { "failed" });
        self.durations.record(took, std::slice::from_ref(&kind));
        self.calls.add(1, &[kind, label]);
        if well {
            self.pace().succeeded();
        } else {
            self.pace().failed(self.clock.now(), rand::random());
        }
        result.map_err(|error| match error {
            CallError::NotSent(text) => StoreError::Refused(text),
            error => StoreError::Unknown(error.to_string()),
        })
    }
}

fn interpret<T: DeserializeOwned>(answer: &HttpResponse) -> Result<T, StoreError> {
    match answer.status {
        200 => answer.json().map_err(StoreError::Malformed),
        409 | 410 | 413 | 503 => Err(refusal(answer)),
        status => Err(StoreError::Unknown(format!("status {status}"))),
    }
}

fn refusal(answer: &HttpResponse) -> StoreError {
    match answer.json::<ErrorResponse>() {
        Ok(error) if error.status() != answer.status => {
            StoreError::Malformed(format!("status {} does not fit the body", answer.status))
        }
        Ok(ErrorResponse::Conflict { current }) => StoreError::Conflict { current },
        Ok(ErrorResponse::LeaseEnded) => StoreError::LeaseEnded,
        Ok(ErrorResponse::TooLarge { size, limit }) => StoreError::TooLarge { size, limit },
        Ok(ErrorResponse::Refused { message }) => StoreError::Refused(message),
        Err(text) => StoreError::Malformed(text),
    }
}

/// Checks that an answer is about the key that was asked for.
fn checked(answer: EntryResponse, key: &str) -> Result<Option<Entry>, StoreError> {
    match answer.entry {
        Some(entry) if entry.key != key => Err(StoreError::Malformed(format!(
            "it is about the key {:?} instead of {key:?}",
            entry.key
        ))),
        entry => Ok(entry.map(Entry::from)),
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let url = self.url("/v1/kv/get", &[("key", key)]);
        checked(self.read(url, Span::ZERO)?, key)
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError> {
        let mut found: Vec<Entry> = Vec::new();
        loop {
            let after = found.last().map_or(after, |entry| &entry.key);
            let rest = (limit - found.len()).to_string();
            let query = [("prefix", prefix), ("after", after), ("limit", &rest)];
            let answer: ListResponse = self.read(self.url("/v1/kv/list", &query), Span::ZERO)?;
            let mut last = after;
            for entry in &answer.entries {
                if entry.key.as_str() <= last || !entry.key.starts_with(prefix) {
                    let text = format!("the key {:?} is out of place in a list", entry.key);
                    return Err(StoreError::Malformed(text));
                }
                last = &entry.key;
            }
            let whole = !answer.more || answer.entries.is_empty();
            found.extend(answer.entries.into_iter().map(Entry::from));
            if whole || found.len() >= limit {
                found.truncate(limit);
                return Ok(found);
            }
        }
    }

    fn put(
        &self,
        key: &str,
        value: &[u8],
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> Result<Version, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge {
                size: value.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        let request = PutRequest {
            key: key.to_owned(),
            value: value.to_vec(),
            expect,
            lease,
        };
        let answer: PutResponse = self.write("/v1/kv/put", &request)?;
        Ok(answer.version)
    }

    fn delete(&self, key: &str, expect: Expect) -> Result<(), StoreError> {
        let request = DeleteRequest {
            key: key.to_owned(),
            expect,
        };
        self.write("/v1/kv/delete", &request)
            .map(|EmptyResponse {}| ())
    }

    fn watch(&self, key: &str, after: Version, wait: Span) -> Result<Option<Entry>, StoreError> {
        let (after, wait_ms) = (after.to_string(), wait.as_millis().to_string());
        let query = [("key", key), ("after", &after), ("wait_ms", &wait_ms)];
        checked(self.read(self.url("/v1/watch", &query), wait)?, key)
    }

    fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        let request = GrantRequest {
            ttl_ms: ttl.as_millis(),
        };
        let answer: GrantResponse = self.write("/v1/leases/grant", &request)?;
        Ok(answer.lease)
    }

    fn renew(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseRequest { lease };
        self.write("/v1/leases/renew", &request)
            .map(|EmptyResponse {}| ())
    }

    fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        let request = LeaseRequest { lease };
        self.write("/v1/leases/revoke", &request)
            .map(|EmptyResponse {}| ())
    }
}
