//! Calls between the hosts of the system. They are encoded with postcard.

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::http::Method;
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use serde::{Deserialize, Serialize};

use super::callers::{self, WriteOutcome};
use super::candidacy::Eligibility;
use super::config_exchange::{ConfigReport, ask_other_host};
use super::keys;
use super::leader::ActiveTerm;
use super::relay::{Carrier, HostReport, RelayBatch, RelayResults};
use super::state::{Node, lock};
use super::voters::Ballot;
use crate::dispatch::{JobKey, JobRecord, JobStatus, LoadEstimate};
use crate::http::body;
use crate::model::{Bytes, Span};
use crate::platform::CallError;

/// HTTP path of the calls.
const PATH: &str = "/peer";

/// Largest request body. Has to hold a job's steps and payload.
const MAX_REQUEST_BODY: Bytes = Bytes::from_mib(1);

/// Timeout of a call that the leader answers from memory.
pub(crate) const MEMORY_TIMEOUT: Span = Span::from_millis(600);

/// Timeout of a call for which the leader writes to the store.
pub(crate) const STORE_TIMEOUT: Span = Span::from_millis(1_200);

/// A request of another host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Notifies the leader that a job was stored.
    JobStored(JobKey, JobRecord),
    /// Notifies the leader that a cancellation was stored.
    CancellationStored(JobKey),
    /// Asks for the status of a job.
    JobStatus(JobKey),
    /// Asks how many jobs of a queue are waiting; holds the queue's host name and prefix.
    PendingCount(String, String),
    /// Asks the leader to store a job, since the sender can't reach the store.
    StoreJob(JobKey, JobRecord),
    /// Asks the leader to store a cancellation, since the sender can't reach the store.
    StoreCancellation(JobKey),
    /// Asks whether the process still leads the term with this nonce.
    LeadsTerm(u64),
    /// Announces the sender to the leader, which may use it as a relay or make room for it.
    AnnounceHost(
        HostReport,
        #[serde(default, deserialize_with = "keys::or_default")] Eligibility,
    ),
    /// Asks the receiver to make calls to workers.
    RelayCalls(RelayBatch),
    /// Results of calls that the sender has made for the leader.
    RelayResults(RelayResults),
    /// Asks the receiver to vote on a term.
    Vote(Ballot),
    /// Asks what the receiver knows of the configuration; holds the version that the sender has.
    KnownConfig(u64),
}

/// The response to a [`PeerRequest`]. The estimates come with answers that the leader gives anyway;
/// older versions neither send nor read them, and no leader does at the beginning of its term.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    /// This host doesn't lead.
    NotLeader,
    /// The notification was received.
    Acknowledged(#[serde(default, deserialize_with = "keys::or_default")] Option<LoadEstimate>),
    /// Status of a job; `None` if the leader doesn't know the job.
    JobStatus(
        Option<PeerJobStatus>,
        #[serde(default, deserialize_with = "keys::or_default")] Option<LoadEstimate>,
    ),
    /// Number of waiting jobs.
    PendingCount(u64),
    /// Outcome of a write to the store.
    WriteOutcome(WriteOutcome),
    /// Whether the process leads that term.
    LeadsTerm(bool),
    /// After what time the host is to announce itself again.
    AnnounceAgain(
        Span,
        #[serde(default, deserialize_with = "keys::or_default")] Option<LoadEstimate>,
    ),
    /// Whether the voter agrees.
    Vote(bool),
    /// What the host knows of the configuration; `None` if it has read none.
    KnownConfig(Option<ConfigReport>),
}

/// A job's status ([`JobStatus`]) as sent between hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum PeerJobStatus {
    Queued,
    Running,
    Completed,
    Failed,
    Cancelled,
}

impl From<JobStatus> for PeerJobStatus {
    fn from(status: JobStatus) -> Self {
        match status {
            JobStatus::Queued => Self::Queued,
            JobStatus::Running => Self::Running,
            JobStatus::Completed => Self::Completed,
            JobStatus::Failed => Self::Failed,
            JobStatus::Cancelled => Self::Cancelled,
        }
    }
}

impl From<PeerJobStatus> for JobStatus {
    fn from(status: PeerJobStatus) -> Self {
        match status {
            PeerJobStatus::Queued => Self::Queued,
            PeerJobStatus::Running => Self::Running,
            PeerJobStatus::Completed => Self::Completed,
            PeerJobStatus::Failed => Self::Failed,
            PeerJobStatus::Cancelled => Self::Cancelled,
        }
    }
}

/// Sends a request to another host.
pub(crate) async fn call_peer(
    node: &Node,
    peer: SocketAddr,
    request: &PeerRequest,
    timeout: Span,
) -> Result<PeerResponse, CallError> {
    let response = node
        .client
        .post_bytes(peer, PATH, keys::encode(request), timeout)
        .await?;
    if response.status.as_u16() != 200 {
        return Err(response.unexpected_status());
    }
    postcard::from_bytes(&response.body).map_err(|e| CallError::UnreadableBody(peer, e.to_string()))
}

/// Serves the calls of other hosts.
#[derive(Clone)]
pub(crate) struct PeerApi(pub(crate) Arc<Node>);

impl PeerApi {
    pub(crate) fn routes(&self) -> Vec<Route> {
        vec![Route::new(Method::Post, PATH, self.clone())]
    }

    async fn handle_request(&self, data: Data<'_>) -> Result<PeerResponse, String> {
        let bytes = body::read(data, MAX_REQUEST_BODY)
            .await
            .map_err(|e| format!("{e:?}"))?;
        let request: PeerRequest = postcard::from_bytes(&bytes).map_err(|e| e.to_string())?;
        Ok(self.respond(request).await)
    }

    async fn respond(&self, request: PeerRequest) -> PeerResponse {
        let node = &self.0;
        let term = node.active_term();
        match (request, term) {
            (PeerRequest::LeadsTerm(nonce), _) => PeerResponse::LeadsTerm(node.holds_term(nonce)),
            (PeerRequest::Vote(ballot), _) => PeerResponse::Vote(node.vote(ballot)),
            (PeerRequest::RelayCalls(batch), _) => {
                Carrier::accept(node, batch);
                PeerResponse::Acknowledged(None)
            }
            (PeerRequest::KnownConfig(known), term) => {
                // Answered from memory. Only a leader asks others in turn, so that questions make
                // no circle.
                if term.is_some() && node.has_customers() && node.is_config_overdue() {
                    let node = node.clone();
                    tokio::spawn(async move { ask_other_host(&node).await });
                }
                PeerResponse::KnownConfig(node.config_report(known))
            }
            (_, None) => PeerResponse::NotLeader,
            (request, Some(term)) => self.respond_as_leader(&term, request).await,
        }
    }

    /// Responds to a request that only the leader serves.
    async fn respond_as_leader(&self, term: &ActiveTerm, request: PeerRequest) -> PeerResponse {
        let node = &self.0;
        let load = || lock(&term.dispatcher).load_estimate(node.now());
        match request {
            PeerRequest::LeadsTerm(_)
            | PeerRequest::RelayCalls(_)
            | PeerRequest::Vote(_)
            | PeerRequest::KnownConfig(_) => PeerResponse::NotLeader,
            PeerRequest::AnnounceHost(report, eligibility) => {
                let pause = term.host_announced(node, report, eligibility);
                PeerResponse::AnnounceAgain(pause, load())
            }
            PeerRequest::RelayResults(results) => {
                term.workers.results_received(results);
                PeerResponse::Acknowledged(None)
            }
            PeerRequest::JobStored(key, record) => {
                term.accept(node, key, record);
                PeerResponse::Acknowledged(load())
            }
            PeerRequest::CancellationStored(key) => {
                term.cancel(node, key);
                PeerResponse::Acknowledged(load())
            }
            PeerRequest::JobStatus(key) => {
                let dispatcher = lock(&term.dispatcher);
                let status = dispatcher.job_status(key).map(PeerJobStatus::from);
                PeerResponse::JobStatus(status, dispatcher.load_estimate(node.now()))
            }
            PeerRequest::PendingCount(host, prefix) => {
                let pending = lock(&term.dispatcher).pending_jobs(&host, &prefix);
                PeerResponse::PendingCount(pending as u64)
            }
            PeerRequest::StoreJob(..) | PeerRequest::StoreCancellation(_)
                if node.is_store_lost() =>
            {
                PeerResponse::WriteOutcome(WriteOutcome::Refused)
            }
            PeerRequest::StoreJob(key, record) => {
                let result = callers::store_job(node, key, &record).await;
                if result.outcome == WriteOutcome::Stored {
                    term.accept(node, key, result.stored_record(record));
                }
                PeerResponse::WriteOutcome(result.outcome)
            }
            PeerRequest::StoreCancellation(key) => {
                PeerResponse::WriteOutcome(callers::store_cancel(node, key).await)
            }
        }
    }
}

#[rocket::async_trait]
impl Handler for PeerApi {
    async fn handle<'r>(&self, _: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let mut response = Response::new();
        match self.handle_request(data).await {
            Ok(reply) => {
                let bytes = keys::encode(&reply);
                response.set_sized_body(bytes.len(), std::io::Cursor::new(bytes));
            }
            Err(error) => {
                log::warn!(error = error; "request of another host can't be decoded");
                response.set_status(rocket::http::Status::BadRequest);
            }
        }
        Outcome::Success(response)
    }
}
