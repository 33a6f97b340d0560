//! Callers' requests: submit a job, read its status, cancel it, and count the waiting
//! jobs of a queue.

use std::io::Cursor;
use std::sync::Arc;

use opentelemetry::KeyValue;
use rocket::http::{ContentType, Header, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use serde::{Deserialize, Serialize};

use super::access::{Access, AccessCause, CallKind, decide};
use super::config_check::current_config;
use super::job_write::{
    WriteResult, assess_cancellation, assess_existing_job, assess_job_write, assess_load_refusal,
    cancellation_txn, job_txn, stored_job,
};
use super::keys::{self, StoredJob};
use super::known_config::{ActiveConfig, ConfigEvidence};
use super::known_load::LoadRefusal;
use super::peers::{self, PeerRequest, PeerResponse};
use super::state::{Node, lock, sleep};
use crate::dispatch::{JobKey, JobOutcome, JobRecord, JobStatus, Progress};
use crate::http::body;
use crate::model::{CustomerName, Span, Time};
use crate::platform::{
    CallError, KEY_HEADER, KEY_SCHEME, KeyState, QueueConfig, Revision, Txn, TxnError, decode_key,
    decode_submission, encode_job_status, encode_pending_count,
};

/// Header with the time in milliseconds that the caller waits for the response.
const DEADLINE_HEADER: &str = "Deadline-Ms";

/// Kept back from the caller's deadline for the transfer of the response.
const RESPONSE_MARGIN: Span = Span::from_millis(150);

/// Pause before a failed write is repeated.
const WRITE_RETRY_PAUSE: Span = Span::from_millis(40);

/// Attempts to make a write within one request. Since a write can be repeated without
/// further effect, later attempts also find out whether an earlier one was made.
const MAX_WRITE_ATTEMPTS: u32 = 3;

/// `Retry-After` of responses with status 503. Outages of the store last seconds, and
/// other hosts may still reach it.
const RETRY_AFTER_S: u32 = 1;

/// Attempts to cancel a job that is stored or withdrawn by another write in between, which can
/// happen once.
const MAX_CANCEL_ATTEMPTS: u32 = 2;

/// Outcome of a write to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub(crate) enum WriteOutcome {
    /// The write was made.
    Stored,
    /// The write was not made and never will be.
    Refused,
    /// It is not known whether the write was or will be made.
    Unclear,
    /// The job to cancel doesn't exist, and no write that is still open can store it.
    Missing,
    /// The job was cancelled before it was stored. It never runs.
    Withdrawn,
}

/// A response to a caller.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: Status,
    body: String,
    pub(crate) retry_after_s: Option<u32>,
}

impl CallerResponse {
    fn json(status: Status, body: String) -> Self {
        let retry_after_s = None;
        Self {
            status,
            body,
            retry_after_s,
        }
    }

    fn error(status: Status, reason: &str) -> Self {
        let body = serde_json::json!({ "error": reason }).to_string();
        Self::json(status, body)
    }

    fn unavailable(reason: &str) -> Self {
        Self {
            retry_after_s: Some(RETRY_AFTER_S),
            ..Self::error(Status::ServiceUnavailable, reason)
        }
    }

    fn overloaded(refusal: &LoadRefusal) -> Self {
        let seconds = refusal.pool.retry_after.as_millis().div_ceil(1_000);
        Self {
            retry_after_s: Some(u32::try_from(seconds).unwrap_or(u32::MAX)),
            ..Self::error(
                Status::ServiceUnavailable,
                "the job was not accepted: more best-effort jobs wait than the workers can hold",
            )
        }
    }

    fn access_refused(cause: AccessCause) -> Self {
        match cause {
            AccessCause::Missing => Self::error(Status::Unauthorized, "the queue needs a key"),
            AccessCause::Unknown => Self::error(Status::Unauthorized, "the key is not known"),
            AccessCause::Unconfirmed => {
                Self::unavailable("the key is not known, and there may be a newer configuration")
            }
            AccessCause::NoEvidence => Self::unavailable(
                "the key can't be confirmed: no answer from the store or another host",
            ),
        }
    }

    fn into_response(self, close: bool) -> Response<'static> {
        let mut response = Response::new();
        response.set_status(self.status);
        response.set_header(ContentType::JSON);
        if let Some(seconds) = self.retry_after_s {
            response.set_header(Header::new("Retry-After", seconds.to_string()));
        }
        if self.status == Status::Unauthorized {
            response.set_header(Header::new("WWW-Authenticate", KEY_SCHEME));
        }
        if close {
            response.set_header(Header::new("Connection", "close"));
        }
        response.set_sized_body(self.body.len(), Cursor::new(self.body));
        response
    }
}

/// Serves callers' requests.
#[derive(Clone)]
pub(crate) struct CallerApi(pub(crate) Arc<Node>);

impl CallerApi {
    pub(crate) fn routes(&self) -> Vec<Route> {
        [Method::Get, Method::Post, Method::Delete]
            .map(|m| Route::new(m, "/<path..>", self.clone()))
            .to_vec()
    }
}

#[rocket::async_trait]
impl Handler for CallerApi {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let node = &self.0;
        let _in_flight = node.track_request();
        let began = node.now();
        let response = serve_request(node, request, data, began).await;
        let took = node.now().since(began);
        let labels = [KeyValue::new("code", i64::from(response.status.code))];
        node.metrics.requests.add(1, &labels);
        node.metrics
            .request_durations
            .record(took.as_secs_f64(), &[]);
        Outcome::Success(response.into_response(node.is_draining()))
    }
}

async fn serve_request(
    node: &Arc<Node>,
    request: &Request<'_>,
    data: Data<'_>,
    began: Time,
) -> CallerResponse {
    let host = request.headers().get_one("Host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let path = request.uri().path().as_str();
    let needs_evidence = |c: &ActiveConfig| c.queue(host, path).is_none_or(|q| q.needs_key);
    let Some((config, evidence)) = current_config(node, needs_evidence).await else {
        return CallerResponse::unavailable("this host has not read its configuration yet");
    };
    let Some(queue) = config.queue(host, path) else {
        log::info!(host = host, path = path, version = config.operator.version, revision = config.revision.0, age:? = node.config_age().map(|a| a.to_string()), in_force = evidence.in_force; "no such queue");
        return match evidence.in_force {
            true => CallerResponse::error(Status::NotFound, "no such queue"),
            false => CallerResponse::unavailable(
                "no such queue is known, and there may be a newer configuration",
            ),
        };
    };
    let customer = match admit(node, request, &config, queue, evidence) {
        Ok(customer) => customer,
        Err(refused) => return refused,
    };
    let job_id = path.get(queue.settings.prefix.len()..).unwrap_or_default();
    if job_id.is_empty() {
        return match request.method() {
            Method::Get => count_pending(node, queue).await,
            _ => CallerResponse::error(
                Status::BadRequest,
                "the path must be the queue's prefix followed by a job's identifier",
            ),
        };
    }
    let Some(key) = JobKey::parse(job_id) else {
        let reason = "a job's identifier must consist of 16 lower-case hexadecimal digits";
        return CallerResponse::error(Status::BadRequest, reason);
    };
    let wait = request
        .headers()
        .get_one(DEADLINE_HEADER)
        .and_then(|v| v.trim().parse().ok())
        .map_or(queue.timeout, Span::from_millis)
        .min(queue.timeout);
    let until = began + wait.saturating_sub(RESPONSE_MARGIN);
    match request.method() {
        Method::Post => match body::read(data, config.operator.body_limit).await {
            Ok(bytes) => submit(node, queue, key, customer.cloned(), &bytes, until).await,
            Err(_) => {
                CallerResponse::error(Status::BadRequest, "the body is incomplete or too large")
            }
        },
        Method::Delete => cancel(node, key, until).await,
        _ => read_status(node, key).await,
    }
}

/// The customer of a call, or none if its queue needs no key. Fails with the answer to a call that
/// is refused for its key.
fn admit<'a>(
    node: &Node,
    request: &Request<'_>,
    config: &'a ActiveConfig,
    queue: &QueueConfig,
    evidence: ConfigEvidence,
) -> Result<Option<&'a CustomerName>, CallerResponse> {
    let operator = &config.operator;
    let key = match queue.needs_key {
        true => decode_key(request.headers().get_one(KEY_HEADER)),
        false => None,
    };
    let kind = match request.method() {
        Method::Get => CallKind::Read,
        _ => CallKind::Write,
    };
    let strict = node.settings.revocation.strict;
    let (cause, customer) = match decide(operator, queue, key.as_ref(), kind, evidence, strict) {
        Access::Public => return Ok(None),
        Access::Customer(customer) => return Ok(Some(customer)),
        Access::Refused(cause, customer) => (cause, customer),
    };
    if let Some(calls) = lock(&node.refusal_log).count(cause, node.now()) {
        log::info!(calls = calls, queue:% = queue.settings.prefix, method:% = request.method(), cause:% = cause, customer:? = customer.map(CustomerName::as_str), version = operator.version, revision = config.revision.0, age:? = node.config_age().map(|a| a.to_string()), store_lost = node.is_store_lost(); "call refused for its key");
    }
    let label = KeyValue::new("cause", cause.to_string());
    node.metrics.access_refusals.add(1, &[label]);
    Err(CallerResponse::access_refused(cause))
}

pub(crate) async fn submit(
    node: &Arc<Node>,
    queue: &QueueConfig,
    key: JobKey,
    customer: Option<CustomerName>,
    bytes: &[u8],
    until: Time,
) -> CallerResponse {
    let spec = match decode_submission(bytes) {
        Ok(spec) => spec,
        Err(error) => {
            log::info!(job:% = key, error:% = error; "submission can't be decoded");
            return CallerResponse::error(
                Status::BadRequest,
                &format!("the job can't be decoded: {error}"),
            );
        }
    };
    if let Err(error) = spec.check() {
        log::info!(job:% = key, error:% = error; "submission is invalid");
        return CallerResponse::error(Status::BadRequest, &error.to_string());
    }
    if queue.settings.ticket_lifetime.is_some() && node.settings.policy_address.is_none() {
        // The job could never start: its workers require tickets of the policy service.
        log::error!(job:% = key, queue:% = queue.settings.prefix; "job refused: its queue needs a policy service and the settings of this host name none");
        return CallerResponse::unavailable(
            "the queue needs a policy service and the settings of this host name none",
        );
    }
    let record = JobRecord {
        queue: queue.settings.clone(),
        spec,
        accepted: node.wall_time(),
        term_token: None,
        customer,
    };
    let began = node.now();
    let refusal = node.load_refusal(&record.queue, &record.spec);
    let refused = match &refusal {
        Some(refusal) => refuse_for_load(node, key, &record, refusal).await,
        None => None,
    };
    if let (Some(WriteOutcome::Refused), Some(refusal)) = (refused, &refusal) {
        return CallerResponse::overloaded(refusal);
    }
    let result = match refused {
        Some(outcome) => outcome.into(),
        None => write_with_retries(node, CallerWrite::Job(key, &record), until).await,
    };
    log::info!(job:% = key, queue:% = queue.settings.prefix, verdict:% = result.outcome, token:? = result.token, took:% = node.now().since(began), store_lost = node.is_store_lost(); "submission answered");
    match result.outcome {
        WriteOutcome::Stored => {
            notify_leader(
                node,
                PeerRequest::JobStored(key, result.stored_record(record)),
            );
            CallerResponse::json(Status::Ok, "{}".to_owned())
        }
        WriteOutcome::Unclear => CallerResponse::error(
            Status::GatewayTimeout,
            "the store has not answered; submit the same job again",
        ),
        WriteOutcome::Refused | WriteOutcome::Missing => {
            CallerResponse::unavailable("the job was not accepted: the store can't be reached")
        }
        // Without a time to come back: no later attempt succeeds either.
        WriteOutcome::Withdrawn => CallerResponse::error(
            Status::ServiceUnavailable,
            "the job was not accepted: it was cancelled before",
        ),
    }
}

/// Refuses a submission for load unless the store holds the job: the caller may repeat one whose
/// answer it has not seen. `None` if the store does not tell; the job is then accepted as without
/// a bound, since a refusal has to be true.
async fn refuse_for_load(
    node: &Node,
    key: JobKey,
    record: &JobRecord,
    refusal: &LoadRefusal,
) -> Option<WriteOutcome> {
    let outcome = match node.is_store_lost() {
        true => None,
        false => assess_load_refusal(key, &read(node, &keys::job(key)).await),
    };
    let pool = &refusal.pool;
    log::info!(job:% = key, queue:% = record.queue.prefix, service:% = pool.service, jobs = pool.jobs, limit = pool.limit, age:% = refusal.age, retry:% = pool.retry_after, verdict:? = outcome.map(|o| o.to_string()); "submission to a full pool of workers");
    if outcome == Some(WriteOutcome::Refused) {
        let cause = KeyValue::new("cause", "memory");
        node.metrics.load_refusals.add(1, &[cause]);
    }
    outcome
}

async fn cancel(node: &Arc<Node>, key: JobKey, until: Time) -> CallerResponse {
    let outcome = write_with_retries(node, CallerWrite::Cancellation(key), until)
        .await
        .outcome;
    log::info!(job:% = key, verdict:% = outcome; "cancellation answered");
    match outcome {
        WriteOutcome::Stored => {
            notify_leader(node, PeerRequest::CancellationStored(key));
            CallerResponse::json(Status::Ok, "{}".to_owned())
        }
        WriteOutcome::Missing | WriteOutcome::Withdrawn => {
            CallerResponse::error(Status::Gone, "no such job")
        }
        WriteOutcome::Refused => {
            CallerResponse::unavailable("the job was not cancelled: the store can't be reached")
        }
        WriteOutcome::Unclear => CallerResponse::error(
            Status::GatewayTimeout,
            "the store has not answered; send the same request again",
        ),
    }
}

/// A write requested by a caller. Repeating one has no further effect.
#[derive(Debug, Clone, Copy)]
enum CallerWrite<'a> {
    Job(JobKey, &'a JobRecord),
    Cancellation(JobKey),
}

/// Makes a write, repeating it until its outcome is known, the attempts are used up or
/// no time is left. Goes through the leader on the second attempt, and on every attempt
/// while this host can't reach the store.
async fn write_with_retries(node: &Node, write: CallerWrite<'_>, until: Time) -> WriteResult {
    let mut unclear = false;
    for attempt in 0..MAX_WRITE_ATTEMPTS {
        let remote = node
            .remote_leader()
            .filter(|_| node.is_store_lost() || attempt == 1);
        let result = match (remote, write) {
            // Nothing was sent, so the write certainly won't be made, and the caller
            // can try another host at once.
            (None, _) if node.is_store_lost() && !unclear => {
                return WriteOutcome::Refused.into();
            }
            (None, CallerWrite::Job(key, record)) => store_job(node, key, record).await,
            (None, CallerWrite::Cancellation(key)) => store_cancel(node, key).await.into(),
            (Some(leader), write) => {
                let request = match write {
                    CallerWrite::Job(key, record) => PeerRequest::StoreJob(key, record.clone()),
                    CallerWrite::Cancellation(key) => PeerRequest::StoreCancellation(key),
                };
                match peers::call_peer(node, leader.peer_address, &request, peers::STORE_TIMEOUT)
                    .await
                {
                    Ok(PeerResponse::WriteOutcome(outcome)) => outcome.into(),
                    Ok(_) => WriteOutcome::Refused.into(),
                    Err(error) if error.had_no_effect() => WriteOutcome::Refused.into(),
                    Err(_) => WriteOutcome::Unclear.into(),
                }
            }
        };
        match result.outcome {
            WriteOutcome::Stored | WriteOutcome::Missing | WriteOutcome::Withdrawn => {
                return result;
            }
            WriteOutcome::Unclear => unclear = true,
            WriteOutcome::Refused => {}
        }
        if node.now() + WRITE_RETRY_PAUSE >= until {
            break;
        }
        sleep(WRITE_RETRY_PAUSE).await;
    }
    match unclear {
        true => WriteOutcome::Unclear.into(),
        false => WriteOutcome::Refused.into(),
    }
}

/// Stores a job unless it is stored already. If this host knows a leader, the job is stored
/// under the condition that no newer one was elected; if the condition fails, without it.
pub(crate) async fn store_job(node: &Node, key: JobKey, record: &JobRecord) -> WriteResult {
    let mut leader = node.leader_revision();
    loop {
        let result = write(node, &job_txn(key, record, leader)).await;
        if let Err(TxnError::Call(error)) = &result
            && !error.had_no_effect()
        {
            log::warn!(job:% = key, error:% = error; "the store has not answered the write of a job");
        }
        match (assess_job_write(&result, leader), leader) {
            (Some(result), _) => return result,
            (None, Some(known)) => {
                log::info!(job:% = key, token = known.0; "the job exists or the leader has changed; storing the job without a token");
                leader = None;
            }
            (None, None) => {
                let outcome = assess_existing_job(key, &read(node, &keys::job(key)).await);
                log::info!(job:% = key, outcome:% = outcome; "the job exists");
                return outcome.into();
            }
        }
    }
}

/// Stores the cancellation of a job, or that the job must not be stored any more if the store
/// does not have it.
pub(crate) async fn store_cancel(node: &Node, key: JobKey) -> WriteOutcome {
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let Ok(item) = read(node, &keys::job(key)).await else {
            return WriteOutcome::Refused;
        };
        let stored = stored_job(key, item.as_ref());
        let Some(txn) = cancellation_txn(key, stored.as_ref()) else {
            return WriteOutcome::Withdrawn;
        };
        let result = write(node, &txn).await;
        if let Some(outcome) = assess_cancellation(stored.as_ref(), &result) {
            return outcome;
        }
        log::info!(job:% = key; "the job to cancel was stored in the meantime");
    }
    WriteOutcome::Refused
}

/// Makes a transaction and records the call.
async fn write(node: &Node, txn: &Txn) -> Result<Revision, TxnError> {
    let sent = node.now();
    let (result, refusal) = match node.kv.txn(txn).await {
        Ok(revision) => (Ok(Some(revision)), None),
        Err(TxnError::Call(error)) => (Err(error), None),
        Err(other) => (Ok(None), Some(other)),
    };
    let result = node.record_store_call("txn", sent, result)?;
    match (result, refusal) {
        (Some(revision), _) => Ok(revision),
        (None, Some(error)) => Err(error),
        (None, None) => Err(TxnError::Conflict),
    }
}

/// Reads a key and records the call.
async fn read(node: &Node, key: &str) -> Result<Option<KeyState>, CallError> {
    let sent = node.now();
    let result = node.kv.get(key).await;
    node.record_store_call("key", sent, result)
        .map(|r| r.content)
}

/// Notifies the leader of a stored job or cancellation, to save time: it would also
/// learn of it by watching the store.
fn notify_leader(node: &Arc<Node>, request: PeerRequest) {
    if let Some(term) = node.active_term() {
        match request {
            PeerRequest::JobStored(key, record) => term.accept(node, key, record),
            PeerRequest::CancellationStored(key) => term.cancel(node, key),
            _ => {}
        }
        return;
    }
    let Some(leader) = node.remote_leader() else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        let sent = node.now();
        match peers::call_peer(&node, leader.peer_address, &request, peers::MEMORY_TIMEOUT).await {
            Ok(PeerResponse::Acknowledged(load)) => node.learn_load(load, sent),
            Ok(_) => {}
            Err(error) => {
                log::debug!(leader:% = leader.host, error:% = error; "leader not notified; it will read the change from the store");
            }
        }
    });
}

/// The status of a job as the leader knows it, or else as the store shows it.
async fn read_status(node: &Arc<Node>, key: JobKey) -> CallerResponse {
    let known = match node.active_term() {
        Some(term) => lock(&term.dispatcher).job_status(key),
        None => match node.remote_leader() {
            None => None,
            Some(leader) => {
                let sent = node.now();
                match peers::call_peer(
                    node,
                    leader.peer_address,
                    &PeerRequest::JobStatus(key),
                    peers::MEMORY_TIMEOUT,
                )
                .await
                {
                    Ok(PeerResponse::JobStatus(status, load)) => {
                        node.learn_load(load, sent);
                        status.map(JobStatus::from)
                    }
                    Ok(_) => None,
                    Err(error) => {
                        log::debug!(error:% = error; "leader unreachable; reading the job's status from the store");
                        None
                    }
                }
            }
        },
    };
    let status = match known {
        Some(status) => Ok(Some(status)),
        None => stored_status(node, key).await,
    };
    match status {
        Ok(Some(status)) => {
            log::debug!(job:% = key, state:% = status; "job status sent");
            CallerResponse::json(Status::Ok, encode_job_status(status))
        }
        Ok(None) => {
            log::info!(job:% = key; "no such job");
            CallerResponse::error(Status::Gone, "no such job")
        }
        Err(error) => {
            log::warn!(job:% = key, error:% = error; "job status unknown: neither the leader nor the store can be reached");
            CallerResponse::unavailable("neither the leader nor the store can be reached")
        }
    }
}

/// The status of a job according to the store; `None` if the job doesn't exist.
async fn stored_status(node: &Node, key: JobKey) -> Result<Option<JobStatus>, CallError> {
    let item = read(node, &keys::job(key)).await?;
    if matches!(
        stored_job(key, item.as_ref()),
        None | Some(StoredJob::Withdrawn)
    ) {
        return Ok(None);
    }
    let name = keys::state(key);
    let progress = read(node, &name)
        .await?
        .and_then(|i| keys::decode::<Progress>(&name, &i.value?));
    let cancelled = read(node, &keys::cancel(key)).await?.is_some();
    Ok(Some(match progress {
        Some(Progress {
            outcome: Some(outcome),
            ..
        }) => outcome.into(),
        _ if cancelled => JobOutcome::Cancelled.into(),
        Some(_) => JobStatus::Running,
        None => JobStatus::Queued,
    }))
}

/// Counts the accepted jobs of a queue for which no task has started.
async fn count_pending(node: &Arc<Node>, queue: &QueueConfig) -> CallerResponse {
    let settings = &queue.settings;
    if let Some(term) = node.active_term() {
        let pending = lock(&term.dispatcher).pending_jobs(&settings.host, &settings.prefix);
        return CallerResponse::json(Status::Ok, encode_pending_count(pending));
    }
    let Some(leader) = node.remote_leader() else {
        return CallerResponse::unavailable("no leader is known");
    };
    let request = PeerRequest::PendingCount(settings.host.to_string(), settings.prefix.to_string());
    match peers::call_peer(node, leader.peer_address, &request, peers::MEMORY_TIMEOUT).await {
        Ok(PeerResponse::PendingCount(pending)) => {
            CallerResponse::json(Status::Ok, encode_pending_count(pending as usize))
        }
        Ok(_) | Err(_) => CallerResponse::unavailable("the leader can't be reached"),
    }
}
