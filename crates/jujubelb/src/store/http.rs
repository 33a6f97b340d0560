//! Store adapter over HTTP with JSON; see `api` for the interface.

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
use super::rate_limit::{CallKind, RateLimiter};
use super::{Entry, Expect, LeaseId, MAX_VALUE_BYTES, Store, StoreError, Version};
use crate::http::{self, CallError, HttpClient, HttpResponse};
use crate::model::Span;
use crate::telemetry::{self, Clock, Metrics};

/// Timeouts and response size limit of a call.
const LIMITS: http::Limits = http::Limits {
    connect: Span::from_millis(500),
    // The store replies within milliseconds; the latency between regions is 12 ms.
    total: Span::from_secs(2),
    // 4 MiB of values as hexadecimal text, with their keys.
    max_bytes: 10 << 20,
};

/// Maximum wait for the rate limiter before a call is refused.
const MAX_ADMISSION_WAIT: Span = Span::from_millis(1_000);

/// Client of the key-value service over HTTP, with a rate limiter and metrics.
#[derive(Debug)]
pub struct HttpStore {
    address: SocketAddr,
    http: HttpClient,
    clock: Clock,
    limiter: Mutex<RateLimiter>,
    calls: Counter<u64>,
    durations: Histogram<f64>,
}

impl HttpStore {
    /// Creates a client for the store at `address`; `processes` is the number of processes
    /// that share the store's rates.
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
            limiter: Mutex::new(RateLimiter::new(clock.now(), processes)),
            calls: metrics.counter(&telemetry::STORE_CALLS),
            durations: metrics.duration_histogram(&telemetry::STORE_CALL_DURATION),
            clock,
        })
    }

    /// Sets the number of processes that share the store's rates.
    pub fn set_processes(&self, processes: usize) {
        self.limiter().set_processes(processes);
    }

    /// Sets the number of shards that this process owns.
    pub fn set_shards(&self, shards: usize) {
        self.limiter().set_shards(shards);
    }

    fn limiter(&self) -> MutexGuard<'_, RateLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn url(&self, path: &str, query: &[(&str, &str)]) -> Url {
        http::url_with_query(self.address, path, query)
    }

    /// Waits until the rate limiter admits a call, at most `MAX_ADMISSION_WAIT`.
    fn admit(&self, kind: CallKind) -> Result<(), StoreError> {
        let start = self.clock.now();
        loop {
            let now = self.clock.now();
            let wait = match self.limiter().admit(now, kind) {
                Ok(()) => return Ok(()),
                Err(wait) => wait,
            };
            if (now + wait).since(start) > MAX_ADMISSION_WAIT {
                let text =
                    format!("the rate of calls is limited; the next call may start in {wait}");
                return Err(StoreError::Refused(text));
            }
            std::thread::sleep(wait.to_std());
        }
    }

    fn read<T: DeserializeOwned>(&self, url: Url, wait: Span) -> Result<T, StoreError> {
        self.admit(CallKind::Read)?;
        let response = self.observe("read", || self.http.get(url, wait))?;
        decode(&response)
    }

    /// Makes a write. A malformed reply leaves the effect of the write unknown.
    fn write<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, StoreError> {
        self.admit(CallKind::Write)?;
        let response = self.observe("write", || self.http.post(self.url(path, &[]), body))?;
        decode(&response).map_err(|error| match error {
            StoreError::Malformed(text) => StoreError::Unknown(text),
            error => error,
        })
    }

    /// Makes a call, records its metrics and reports its success to the rate limiter.
    fn observe(
        &self,
        kind: &'static str,
        call: impl FnOnce() -> Result<HttpResponse, CallError>,
    ) -> Result<HttpResponse, StoreError> {
        let began = self.clock.now();
        let result = call();
        let took = self.clock.now().since(began).as_secs_f64();
        let ok = result.as_ref().is_ok_and(|response| response.status < 500);
        let kind = KeyValue::new("kind", kind);
        let label = KeyValue::new("result", if ok { "ok" } else { "failed" });
        self.durations.record(took, std::slice::from_ref(&kind));
        self.calls.add(1, &[kind, label]);
        if ok {
            self.limiter().succeeded();
        } else {
            self.limiter().failed(self.clock.now(), rand::random());
        }
        result.map_err(|error| match error {
            CallError::NotSent(text) => StoreError::Refused(text),
            error => StoreError::Unknown(error.to_string()),
        })
    }
}

/// Decodes the body of a response, or its error.
fn decode<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, StoreError> {
    match response.status {
        200 => response.json().map_err(StoreError::Malformed),
        409 | 410 | 413 | 503 => Err(decode_error(response)),
        status => Err(StoreError::Unknown(format!("status {status}"))),
    }
}

fn decode_error(response: &HttpResponse) -> StoreError {
    match response.json::<ErrorResponse>() {
        Ok(error) if error.status() != response.status => StoreError::Malformed(format!(
            "status {} does not match the error in the body",
            response.status
        )),
        Ok(ErrorResponse::Conflict { current }) => StoreError::Conflict { current },
        Ok(ErrorResponse::LeaseEnded) => StoreError::LeaseEnded,
        Ok(ErrorResponse::TooLarge { size, limit }) => StoreError::TooLarge { size, limit },
        Ok(ErrorResponse::Refused { message }) => StoreError::Refused(message),
        Err(text) => StoreError::Malformed(text),
    }
}

/// Checks that the response is for the requested key.
fn check_key(response: EntryResponse, key: &str) -> Result<Option<Entry>, StoreError> {
    match response.entry {
        Some(entry) if entry.key != key => Err(StoreError::Malformed(format!(
            "it is for the key {:?} instead of {key:?}",
            entry.key
        ))),
        entry => Ok(entry.map(Entry::from)),
    }
}

impl Store for HttpStore {
    fn get(&self, key: &str) -> Result<Option<Entry>, StoreError> {
        let url = self.url("/v1/kv/get", &[("key", key)]);
        check_key(self.read(url, Span::ZERO)?, key)
    }

    fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Entry>, StoreError> {
        let mut found: Vec<Entry> = Vec::new();
        loop {
            let after = found.last().map_or(after, |entry| &entry.key);
            let remaining = (limit - found.len()).to_string();
            let query = [("prefix", prefix), ("after", after), ("limit", &remaining)];
            let response: ListResponse = self.read(self.url("/v1/kv/list", &query), Span::ZERO)?;
            let mut last = after;
            for entry in &response.entries {
                if entry.key.as_str() <= last || !entry.key.starts_with(prefix) {
                    let text = format!(
                        "the key {:?} is out of order or has another prefix in a list",
                        entry.key
                    );
                    return Err(StoreError::Malformed(text));
                }
                last = &entry.key;
            }
            let complete = !response.more || response.entries.is_empty();
            found.extend(response.entries.into_iter().map(Entry::from));
            if complete || found.len() >= limit {
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
        let response: PutResponse = self.write("/v1/kv/put", &request)?;
        Ok(response.version)
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
        check_key(self.read(self.url("/v1/watch", &query), wait)?, key)
    }

    fn grant(&self, ttl: Span) -> Result<LeaseId, StoreError> {
        let request = GrantRequest {
            ttl_ms: ttl.as_millis(),
        };
        let response: GrantResponse = self.write("/v1/leases/grant", &request)?;
        Ok(response.lease)
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
