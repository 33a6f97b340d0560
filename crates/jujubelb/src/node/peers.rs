//! Calls between the hosts of the system.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::http::Method;
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use serde::{Deserialize, Serialize};

use super::callers::{self, Verdict};
use super::keys;
use super::state::{Node, lock};
use crate::dispatch::{JobKey, JobRecord, JobStatus};
use crate::http::body;
use crate::model::{Bytes, Span};
use crate::platform::CallError;

/// Path of the calls.
const PATH: &str = "/peer";

/// Largest call: a job's steps and payload.
const LARGEST: Bytes = Bytes::from_mib(1);

/// Time for a call that the leader answers from memory.
pub(crate) const QUICK: Span = Span::from_millis(600);

/// Time for a call in which the leader writes to the store.
pub(crate) const WRITE: Span = Span::from_millis(1_200);

/// A call of another host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Ask {
    /// A job has been stored.
    Stored(JobKey, JobRecord),
    /// A cancellation has been stored.
    Cancelled(JobKey),
    /// What is known of a job.
    State(JobKey),
    /// How many jobs of a queue wait; host name and prefix.
    Pending(String, String),
    /// Store a job for a host that the store doesn't serve.
    Store(JobKey, JobRecord),
    /// Store a cancellation for such a host.
    Cancel(JobKey),
    /// Whether the process still leads the term with this nonce.
    Leads(u64),
}

/// The answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum Tell {
    /// This host doesn't lead.
    NotLeader,
    /// Noted.
    Noted,
    /// State of a job; `None` if it isn't known.
    State(Option<ShownWire>),
    /// Number of waiting jobs.
    Pending(u64),
    /// Outcome of a write.
    Verdict(Verdict),
    /// Whether the process leads that term.
    Leads(bool),
}

/// [`JobStatus`] between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum ShownWire {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
}

impl From<JobStatus> for ShownWire {
    fn from(shown: JobStatus) -> Self {
        match shown {
            JobStatus::Queued => Self::Queued,
            JobStatus::Running => Self::Running,
            JobStatus::Completed => Self::Completed,
            JobStatus::Failed => Self::Failed,
            JobStatus::Cancelled => Self::Cancelled,
        }
    }
}

impl From<ShownWire> for JobStatus {
    fn from(shown: ShownWire) -> Self {
        match shown {
            ShownWire::Queued => Self::Queued,
            ShownWire::Running => Self::Running,
            ShownWire::Completed => Self::Completed,
            ShownWire::Failed => Self::Failed,
            ShownWire::Cancelled => Self::Cancelled,
        }
    }
}

/// Asks another host.
pub(crate) async fn ask(
    node: &Node,
    peer: SocketAddr,
    ask: &Ask,
    limit: Span,
) -> Result<Tell, CallError> {
    let answer = node
        .client
        .exchange(peer, PATH, keys::encode(ask), limit)
        .await?;
    if answer.status.as_u16() != 200 {
        return Err(answer.unexpected());
    }
    postcard::from_bytes(&answer.body).map_err(|e| CallError::Body(peer, e.to_string()))
}

/// Answers the calls of other hosts.
#[derive(Clone)]
pub(crate) struct PeerCalls(pub(crate) Arc<Node>);

impl PeerCalls {
    pub(crate) fn routes(&self) -> Vec<Route> {
        vec![Route::new(Method::Post, PATH, self.clone())]
    }

    async fn answer(&self, data: Data<'_>) -> Result<Tell, String> {
        let bytes = body::read(data, LARGEST)
            .await
            .map_err(|e| format!("{e:?}"))?;
        let ask: Ask = postcard::from_bytes(&bytes).map_err(|e| e.to_string())?;
        Ok(self.tell(ask).await)
    }

    async fn tell(&self, ask: Ask) -> Tell {
        let node = &self.0;
        if let Ask::Leads(nonce) = ask {
            return Tell::Leads(node.has_term(nonce));
        }
        let Some(lead) = node.lead() else {
            return Tell::NotLeader;
        };
        match ask {
            Ask::Leads(nonce) => Tell::Leads(node.has_term(nonce)),
            Ask::Stored(key, record) => {
                lead.accept(node, key, record);
                Tell::Noted
            }
            Ask::Cancelled(key) => {
                lead.cancel(node, key);
                Tell::Noted
            }
            Ask::State(key) => {
                Tell::State(lock(&lead.dispatcher).job_status(key).map(ShownWire::from))
            }
            Ask::Pending(host, prefix) => {
                let pending = lock(&lead.dispatcher).pending_jobs(&host, &prefix);
                Tell::Pending(pending as u64)
            }
            Ask::Store(..) | Ask::Cancel(_) if node.is_store_lost() => {
                Tell::Verdict(Verdict::Refused)
            }
            Ask::Store(key, record) => Tell::Verdict(callers::store_job(node, key, &record).await),
            Ask::Cancel(key) => Tell::Verdict(callers::store_cancel(node, key).await),
        }
    }
}

#[rocket::async_trait]
impl Handler for PeerCalls {
    async fn handle<'r>(&self, _: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let mut response = Response::new();
        match self.answer(data).await {
            Ok(tell) => {
                let bytes = keys::encode(&tell);
                response.set_sized_body(bytes.len(), std::io::Cursor::new(bytes));
            }
            Err(error) => {
                log::warn!(error = error; "call of another host can't be read");
                response.set_status(rocket::http::Status::BadRequest);
            }
        }
        Outcome::Success(response)
    }
}
