//! Client of the platform's key-value store.

use std::net::SocketAddr;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use derive_more::Display;
use reqwest::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;

use super::client::{CallError, HttpClient, HttpRequest, HttpResponse};
use super::{ConnectionCounts, OPERATOR_PREFIX, WORKER_PREFIX};
use crate::model::Span;

/// Timeout of a call that is answered at once. The store answers in 4 ms, and takes
/// about 60 times as long while it is slow.
const CALL_TIMEOUT: Span = Span::from_millis(900);

/// Timeout for one page of a range, which has up to a megabyte.
const PAGE_TIMEOUT: Span = Span::from_millis(2_500);

/// Added to the wait of a watch for its timeout.
const WATCH_TIMEOUT_MARGIN: Span = Span::from_millis(700);

/// A revision of the store. Grows with each change.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// Identifier of a lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// The current value of a key, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyState {
    /// Name of the key; empty if it can't be read, which only items of the operator show.
    pub key: String,
    /// Decoded value; `None` if the key was removed. Empty if it can't be read.
    pub value: Option<Vec<u8>>,
    /// Revision of the last change of the key; 0 if the item in a list can't be read.
    pub revision: Revision,
}

/// The result of a read, with a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadResult<T> {
    /// Content that was read.
    pub content: T,
    /// Revision of the store from which to watch for later changes.
    pub revision: Revision,
}

/// Why a watch failed.
#[derive(Debug, Clone, Error)]
pub enum WatchError {
    /// The store has discarded the history since the revision; the keys have to be
    /// read again.
    #[error("the store has discarded the history since the watched revision")]
    HistoryGone,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Why a transaction failed.
#[derive(Debug, Clone, Error)]
pub enum TxnError {
    /// A key is not at its expected revision; the transaction had no effect.
    #[error("a key of the transaction is not at the expected revision")]
    Conflict,
    /// The lease has expired; the transaction had no effect.
    #[error("the lease of the transaction has expired")]
    LeaseExpired,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// A transaction: puts and deletes that are made all together, or not at all if a key
/// is not at its expected revision.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Txn {
    expected: Vec<ExpectedRevision>,
    puts: Vec<Put>,
    deletes: Vec<String>,
}

#[derive(Debug, Clone, Serialize)]
struct ExpectedRevision {
    key: String,
    revision: Revision,
}

#[derive(Debug, Clone, Serialize)]
struct Put {
    key: String,
    value: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<LeaseId>,
}

impl Txn {
    /// Requires that the last change of a key was at this revision; 0 requires that the
    /// key doesn't exist.
    pub fn expect(mut self, key: impl Into<String>, revision: Revision) -> Self {
        let key = key.into();
        self.expected.push(ExpectedRevision { key, revision });
        self
    }

    /// Writes a key, and binds it to a lease if one is given.
    pub fn put(mut self, key: impl Into<String>, value: &[u8], lease: Option<LeaseId>) -> Self {
        let value = BASE64_STANDARD.encode(value);
        let key = key.into();
        self.puts.push(Put { key, value, lease });
        self
    }

    /// Deletes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

#[derive(Debug, Deserialize)]
struct WireKeyState {
    key: String,
    value: Option<String>,
    revision: Revision,
    #[serde(default)]
    tombstone: bool,
}

#[derive(Debug, Deserialize)]
struct KeyResponse {
    #[serde(flatten)]
    item: WireKeyState,
    store_revision: Revision,
}

#[derive(Debug, Deserialize)]
struct MissingKeyResponse {
    store_revision: Option<Revision>,
}

/// The parts of an item that are read if the item as a whole can't be.
#[derive(Debug, Deserialize)]
struct DamagedItem<'a> {
    key: String,
    #[serde(borrow, default)]
    tombstone: Option<&'a RawValue>,
}

/// Items are kept as text and decoded one by one, because one that can't be decoded must not
/// take the others with it. The text may be nested to any depth.
#[derive(Debug, Deserialize)]
struct RangeResponse<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    has_more: bool,
    store_revision: Revision,
}

/// What becomes of items that can't be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OddItems {
    /// The others hold, and one with a readable key counts as empty.
    Ignored,
    /// As `Ignored`, and one without a readable key is kept with an empty key.
    Kept,
    /// The page can't be used.
    Refused,
}

impl OddItems {
    /// Other writers leave odd items among those of the workers, and each key of the operator
    /// has a meaning of its own. Anywhere else an item that is overlooked does harm: without its
    /// state, the tasks of a job would run again.
    fn under(prefix: &str) -> Self {
        match prefix {
            WORKER_PREFIX => Self::Ignored,
            OPERATOR_PREFIX => Self::Kept,
            _ => Self::Refused,
        }
    }
}

impl RangeResponse<'_> {
    /// Decodes the page of a range that begins after the key `after`. Returns its items, and the
    /// key after which the next page begins, or `None` if this is the last page. A page that
    /// does not go on from `after` is an error, since reading on would never end.
    fn decode(
        &self,
        after: &str,
        odd: OddItems,
    ) -> Result<(Vec<KeyState>, Option<String>), String> {
        let items = decode_items(&self.items, odd)?;
        if !self.has_more {
            return Ok((items, None));
        }
        // The next page repeats items behind the last readable key.
        let readable = items.iter().rfind(|item| !item.key.is_empty());
        match readable.map(|item| item.key.clone()) {
            Some(last) if last.as_str() > after => Ok((items, Some(last))),
            Some(last) => Err(format!("the page after the key `{after}` ends at `{last}`")),
            None => Err(format!(
                "the page after the key `{after}` has no readable key, and is not the last one"
            )),
        }
    }
}

#[derive(Debug, Deserialize)]
struct WatchResponse<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    store_revision: Revision,
}

#[derive(Debug, Deserialize)]
struct TxnResponse {
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct LeaseResponse {
    lease: Option<LeaseId>,
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

/// Client of the store.
#[derive(Debug, Clone)]
pub struct KvClient {
    client: HttpClient,
    address: SocketAddr,
}

const NO_BODY: Option<&()> = None;

impl KvClient {
    /// Creates a client of the store at an address, with connections of its own.
    pub fn new(address: SocketAddr) -> Self {
        let client = HttpClient::default();
        Self { client, address }
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_unused(&self) {
        self.client.close_unused();
    }

    /// Numbers of connections to the store.
    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        self.client.connection_counts()
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<ReadResult<Option<KeyState>>, CallError> {
        self.get_key(&[("key", key.to_owned())]).await
    }

    /// Reads a key whose value may be seconds old. Costs a tenth of [`KvClient::get`] and
    /// does not count toward the store's limit of reads.
    pub async fn get_stale(&self, key: &str) -> Result<ReadResult<Option<KeyState>>, CallError> {
        let query = [("key", key.to_owned()), ("stale_ok", "1".to_owned())];
        self.get_key(&query).await
    }

    async fn get_key(
        &self,
        query: &[(&str, String)],
    ) -> Result<ReadResult<Option<KeyState>>, CallError> {
        let response = self.get_path("/kv-key", query, CALL_TIMEOUT).await?;
        match response.status {
            StatusCode::OK => {
                let found: KeyResponse = response.json()?;
                Ok(ReadResult {
                    content: Some(decode_key_state(found.item)),
                    revision: found.store_revision,
                })
            }
            StatusCode::NOT_FOUND => {
                let revision = response
                    .json::<MissingKeyResponse>()
                    .ok()
                    .and_then(|r| r.store_revision);
                Ok(ReadResult {
                    content: None,
                    revision: revision.unwrap_or_default(),
                })
            }
            _ => Err(response.unexpected_status()),
        }
    }

    /// Reads all keys with a prefix, page by page. The pages are read at different
    /// revisions and form no snapshot, so the result has the revision of the first one.
    pub async fn range(&self, prefix: &str) -> Result<ReadResult<Vec<KeyState>>, CallError> {
        let mut items = Vec::new();
        let mut after = String::new();
        let mut revision = None;
        loop {
            let mut query = vec![("prefix", prefix.to_owned())];
            if !after.is_empty() {
                query.push(("after", after.clone()));
            }
            let response = self.get_path("/kv-range", &query, PAGE_TIMEOUT).await?;
            if response.status != StatusCode::OK {
                return Err(response.unexpected_status());
            }
            let page: RangeResponse<'_> = response.json()?;
            revision.get_or_insert(page.store_revision);
            let (found, next) = page
                .decode(&after, OddItems::under(prefix))
                .map_err(|reason| CallError::UnreadableBody(self.address, reason))?;
            items.extend(found);
            match next {
                Some(key) => after = key,
                None => {
                    return Ok(ReadResult {
                        content: items,
                        revision: revision.unwrap_or_default(),
                    });
                }
            }
        }
    }

    /// Waits for changes of keys with a prefix after a revision. The result is empty if
    /// there is none within `wait`.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Span,
    ) -> Result<ReadResult<Vec<KeyState>>, WatchError> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let timeout = wait + WATCH_TIMEOUT_MARGIN;
        let response = self.get_path("/kv-watch", &query, timeout).await?;
        match response.status {
            StatusCode::OK => {
                let changes: WatchResponse<'_> = response.json()?;
                let content = decode_items(&changes.events, OddItems::under(prefix))
                    .map_err(|reason| CallError::UnreadableBody(self.address, reason))?;
                Ok(ReadResult {
                    content,
                    revision: changes.store_revision,
                })
            }
            StatusCode::GONE => Err(WatchError::HistoryGone),
            _ => Err(response.unexpected_status().into()),
        }
    }

    /// Makes a transaction. Returns the revision of its changes.
    pub async fn txn(&self, txn: &Txn) -> Result<Revision, TxnError> {
        let response = self
            .client
            .call(HttpRequest {
                peer: self.address,
                method: Method::POST,
                path: "/kv-txn",
                query: &[],
                headers: &[],
                body: Some(txn),
                timeout: CALL_TIMEOUT,
            })
            .await?;
        match response.status {
            StatusCode::OK => Ok(response.json::<TxnResponse>()?.revision),
            StatusCode::PRECONDITION_FAILED => Err(TxnError::Conflict),
            StatusCode::NOT_FOUND => Err(TxnError::LeaseExpired),
            _ => Err(response.unexpected_status().into()),
        }
    }

    /// Grants a lease. Returns it with its actual length, which the store may adjust.
    pub async fn grant_lease(&self, ttl: Span) -> Result<(LeaseId, Span), CallError> {
        let request = LeaseRequest {
            ttl_ms: ttl.as_millis(),
        };
        let response = self.post("/kv-lease", Some(&request)).await?;
        if response.status != StatusCode::OK {
            return Err(response.unexpected_status());
        }
        let granted: LeaseResponse = response.json()?;
        let lease = granted.lease.ok_or_else(|| {
            CallError::UnreadableBody(self.address, "the response names no lease".to_owned())
        })?;
        Ok((lease, Span::from_millis(granted.ttl_ms)))
    }

    /// Renews a lease. Returns `false` if it has expired.
    pub async fn renew_lease(&self, lease: LeaseId) -> Result<bool, CallError> {
        let path = format!("/kv-keep/{lease}");
        let response = self.post(&path, NO_BODY).await?;
        match response.status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            _ => Err(response.unexpected_status()),
        }
    }

    /// Ends a lease; the store deletes the keys that are bound to it.
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), CallError> {
        let path = format!("/kv-lease-end/{lease}");
        self.client
            .call(HttpRequest {
                peer: self.address,
                method: Method::DELETE,
                path: &path,
                query: &[],
                headers: &[],
                body: NO_BODY,
                timeout: CALL_TIMEOUT,
            })
            .await?;
        Ok(())
    }

    async fn get_path(
        &self,
        path: &str,
        query: &[(&str, String)],
        timeout: Span,
    ) -> Result<HttpResponse, CallError> {
        self.client
            .call(HttpRequest {
                peer: self.address,
                method: Method::GET,
                path,
                query,
                headers: &[],
                body: NO_BODY,
                timeout,
            })
            .await
    }

    async fn post<B: Serialize>(
        &self,
        path: &str,
        body: Option<&B>,
    ) -> Result<HttpResponse, CallError> {
        self.client
            .call(HttpRequest {
                peer: self.address,
                method: Method::POST,
                path,
                query: &[],
                headers: &[],
                body,
                timeout: CALL_TIMEOUT,
            })
            .await
    }
}

/// Decodes the items of a range or a watch.
fn decode_items(items: &[&RawValue], odd: OddItems) -> Result<Vec<KeyState>, String> {
    let mut decoded = Vec::with_capacity(items.len());
    for item in items {
        match serde_json::from_str::<WireKeyState>(item.get()) {
            Ok(item) => decoded.push(decode_key_state(item)),
            Err(error) if odd == OddItems::Refused => {
                return Err(format!("an item can't be decoded: {error}"));
            }
            Err(error) => {
                let salvaged = salvage_item(item, &error);
                if odd == OddItems::Kept || !salvaged.key.is_empty() {
                    decoded.push(salvaged);
                }
            }
        }
    }
    Ok(decoded)
}

/// Reads what can be read of an item: its key, if any, with an empty value, which names nothing,
/// so that an earlier value of the key is not used any longer.
fn salvage_item(item: &RawValue, error: &serde_json::Error) -> KeyState {
    let damaged = serde_json::from_str::<DamagedItem<'_>>(item.get()).ok();
    let is_removed = damaged
        .as_ref()
        .and_then(|d| d.tombstone)
        .is_some_and(|t| t.get() == "true");
    let key = damaged.map(|d| d.key).unwrap_or_default();
    log::warn!(key = key, error:% = error; "item of the store can't be decoded; its value counts as empty");
    KeyState {
        key,
        value: (!is_removed).then(Vec::new),
        revision: Revision::default(),
    }
}

/// Decodes the value of an item. One that is not valid base64 counts as empty: the key exists,
/// and names nothing.
fn decode_key_state(item: WireKeyState) -> KeyState {
    let value = match (item.tombstone, &item.value) {
        (true, _) | (false, None) => None,
        (false, Some(text)) => Some(BASE64_STANDARD.decode(text).unwrap_or_else(|error| {
            log::warn!(key = item.key, error:% = error; "value in the store is not valid base64; it counts as empty");
            Vec::new()
        })),
    };
    KeyState {
        key: item.key,
        value,
        revision: item.revision,
    }
}

/// Decodes a page of a range of a prefix that begins after a key, and the key after which the
/// next one begins; for tests of the format.
#[cfg(test)]
pub(crate) fn decode_page(
    prefix: &str,
    bytes: &[u8],
    after: &str,
) -> Result<(Vec<KeyState>, Option<String>), String> {
    let page: RangeResponse<'_> = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    page.decode(after, OddItems::under(prefix))
}
