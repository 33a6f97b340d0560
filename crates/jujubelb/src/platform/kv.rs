//! The platform's store.

use std::net::SocketAddr;

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use derive_more::Display;
use reqwest::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::client::{Answer, Call, CallError, Client};
use crate::model::Span;

/// Time for a call that is answered at once. The store answers in 4 ms, and
/// takes about 60 times as long while it is slow.
const LIMIT: Span = Span::from_millis(900);

/// Time for a page of a range, up to a megabyte.
const PAGE_LIMIT: Span = Span::from_millis(2_500);

/// Time beyond its wait that a watch may take.
const WATCH_MARGIN: Span = Span::from_millis(700);

/// Revision of the store.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Display, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// A lease of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key's present value, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
    /// The last change.
    pub revision: Revision,
}

/// A read and the revision of the store that it shows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Read<T> {
    /// What was read.
    pub content: T,
    /// Revision to watch from.
    pub at: Revision,
}

/// Why a watch has no events.
#[derive(Debug, Clone, Error)]
pub enum WatchError {
    /// The history since the revision is gone; read everything again.
    #[error("the store's history since the watched revision is gone")]
    HistoryGone,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// Why a transaction wasn't made.
#[derive(Debug, Clone, Error)]
pub enum TxnError {
    /// A condition doesn't hold; nothing was done.
    #[error("a condition of the transaction doesn't hold")]
    Conflict,
    /// The lease has ended; nothing was done.
    #[error("the lease of the transaction has ended")]
    LeaseEnded,
    /// The call failed.
    #[error(transparent)]
    Call(#[from] CallError),
}

/// A change under conditions; all or nothing.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Txn {
    expected: Vec<Expected>,
    puts: Vec<Put>,
    deletes: Vec<String>,
}

#[derive(Debug, Clone, Serialize)]
struct Expected {
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
    /// Requires that a key was last changed at this revision; 0 is "doesn't exist".
    pub fn expect(mut self, key: impl Into<String>, revision: Revision) -> Self {
        let key = key.into();
        self.expected.push(Expected { key, revision });
        self
    }

    /// Writes a key.
    pub fn put(mut self, key: impl Into<String>, value: &[u8], lease: Option<LeaseId>) -> Self {
        let value = BASE64_STANDARD.encode(value);
        let key = key.into();
        self.puts.push(Put { key, value, lease });
        self
    }

    /// Removes a key.
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

#[derive(Debug, Deserialize)]
struct WireItem {
    key: String,
    value: Option<String>,
    revision: Revision,
    #[serde(default)]
    tombstone: bool,
}

#[derive(Debug, Deserialize)]
struct KeyAnswer {
    #[serde(flatten)]
    item: WireItem,
    store_revision: Revision,
}

#[derive(Debug, Deserialize)]
struct MissingAnswer {
    store_revision: Option<Revision>,
}

#[derive(Debug, Deserialize)]
struct RangeAnswer {
    items: Vec<WireItem>,
    has_more: bool,
    store_revision: Revision,
}

#[derive(Debug, Deserialize)]
struct WatchAnswer {
    events: Vec<WireItem>,
    store_revision: Revision,
}

#[derive(Debug, Deserialize)]
struct TxnAnswer {
    revision: Revision,
}

#[derive(Debug, Deserialize)]
struct LeaseAnswer {
    lease: Option<LeaseId>,
    ttl_ms: u64,
}

#[derive(Debug, Serialize)]
struct LeaseRequest {
    ttl_ms: u64,
}

/// Client of the store.
#[derive(Debug, Clone)]
pub struct Kv {
    client: Client,
    address: SocketAddr,
}

const NO_BODY: Option<&()> = None;

impl Kv {
    /// A client of the store at this address.
    pub fn new(client: Client, address: SocketAddr) -> Self {
        Self { client, address }
    }

    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Read<Option<Item>>, CallError> {
        let query = [("key", key.to_owned())];
        let answer = self.read("/kv-key", &query, LIMIT).await?;
        match answer.status {
            StatusCode::OK => {
                let found: KeyAnswer = answer.json()?;
                Ok(Read {
                    content: decode(found.item),
                    at: found.store_revision,
                })
            }
            StatusCode::NOT_FOUND => {
                let at = answer
                    .json::<MissingAnswer>()
                    .ok()
                    .and_then(|a| a.store_revision);
                Ok(Read {
                    content: None,
                    at: at.unwrap_or_default(),
                })
            }
            _ => Err(answer.unexpected()),
        }
    }

    /// Reads all keys that begin with a prefix. The pages are not a snapshot:
    /// watch from the revision of the first one.
    pub async fn range(&self, prefix: &str) -> Result<Read<Vec<Item>>, CallError> {
        let mut items = Vec::new();
        let mut after = String::new();
        let mut at = None;
        loop {
            let mut query = vec![("prefix", prefix.to_owned())];
            if !after.is_empty() {
                query.push(("after", after.clone()));
            }
            let answer = self.read("/kv-range", &query, PAGE_LIMIT).await?;
            if answer.status != StatusCode::OK {
                return Err(answer.unexpected());
            }
            let page: RangeAnswer = answer.json()?;
            at.get_or_insert(page.store_revision);
            if let Some(last) = page.items.last() {
                after.clone_from(&last.key);
            }
            let more = page.has_more && !page.items.is_empty();
            items.extend(page.items.into_iter().filter_map(decode));
            if !more {
                return Ok(Read {
                    content: items,
                    at: at.unwrap_or_default(),
                });
            }
        }
    }

    /// Waits for changes of keys that begin with a prefix.
    pub async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Span,
    ) -> Result<Read<Vec<Item>>, WatchError> {
        let query = [
            ("prefix", prefix.to_owned()),
            ("after", after.to_string()),
            ("wait_ms", wait.as_millis().to_string()),
        ];
        let limit = wait + WATCH_MARGIN;
        let answer = self.read("/kv-watch", &query, limit).await?;
        match answer.status {
            StatusCode::OK => {
                let news: WatchAnswer = answer.json()?;
                Ok(Read {
                    content: news.events.into_iter().filter_map(decode).collect(),
                    at: news.store_revision,
                })
            }
            StatusCode::GONE => Err(WatchError::HistoryGone),
            _ => Err(answer.unexpected().into()),
        }
    }

    /// Makes a transaction; returns the revision that it made.
    pub async fn txn(&self, txn: &Txn) -> Result<Revision, TxnError> {
        let answer = self
            .client
            .call(Call {
                peer: self.address,
                method: Method::POST,
                path: "/kv-txn",
                query: &[],
                headers: &[],
                body: Some(txn),
                limit: LIMIT,
            })
            .await?;
        match answer.status {
            StatusCode::OK => Ok(answer.json::<TxnAnswer>()?.revision),
            StatusCode::PRECONDITION_FAILED => Err(TxnError::Conflict),
            StatusCode::NOT_FOUND => Err(TxnError::LeaseEnded),
            _ => Err(answer.unexpected().into()),
        }
    }

    /// Makes a lease; returns it with the time that applies.
    pub async fn lease(&self, ttl: Span) -> Result<(LeaseId, Span), CallError> {
        let request = LeaseRequest {
            ttl_ms: ttl.as_millis(),
        };
        let answer = self.post("/kv-lease", Some(&request)).await?;
        if answer.status != StatusCode::OK {
            return Err(answer.unexpected());
        }
        let made: LeaseAnswer = answer.json()?;
        let lease = made
            .lease
            .ok_or_else(|| CallError::Body(self.address, "no lease in the answer".to_owned()))?;
        Ok((lease, Span::from_millis(made.ttl_ms)))
    }

    /// Renews a lease; `false` if it has ended.
    pub async fn keep(&self, lease: LeaseId) -> Result<bool, CallError> {
        let path = format!("/kv-keep/{lease}");
        let answer = self.post(&path, NO_BODY).await?;
        match answer.status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            _ => Err(answer.unexpected()),
        }
    }

    /// Ends a lease and removes its keys.
    pub async fn end(&self, lease: LeaseId) -> Result<(), CallError> {
        let path = format!("/kv-lease-end/{lease}");
        self.client
            .call(Call {
                peer: self.address,
                method: Method::DELETE,
                path: &path,
                query: &[],
                headers: &[],
                body: NO_BODY,
                limit: LIMIT,
            })
            .await?;
        Ok(())
    }

    async fn read(
        &self,
        path: &str,
        query: &[(&str, String)],
        limit: Span,
    ) -> Result<Answer, CallError> {
        self.client
            .call(Call {
                peer: self.address,
                method: Method::GET,
                path,
                query,
                headers: &[],
                body: NO_BODY,
                limit,
            })
            .await
    }

    async fn post<B: Serialize>(&self, path: &str, body: Option<&B>) -> Result<Answer, CallError> {
        self.client
            .call(Call {
                peer: self.address,
                method: Method::POST,
                path,
                query: &[],
                headers: &[],
                body,
                limit: LIMIT,
            })
            .await
    }
}

fn decode(item: WireItem) -> Option<Item> {
    let value = match (item.tombstone, &item.value) {
        (true, _) | (false, None) => None,
        (false, Some(text)) => match BASE64_STANDARD.decode(text) {
            Ok(bytes) => Some(bytes),
            Err(error) => {
                log::warn!(key = item.key, error:% = error; "value in the store is not base64 text; left out");
                return None;
            }
        },
    };
    Some(Item {
        key: item.key,
        value,
        revision: item.revision,
    })
}
