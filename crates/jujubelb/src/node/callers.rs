//! Requests of callers: submissions, states, cancellations, waiting jobs.

use std::io::Cursor;
use std::sync::Arc;

use opentelemetry::KeyValue;
use rocket::http::{ContentType, Header, Method, Status};
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};
use serde::{Deserialize, Serialize};

use super::keys;
use super::peers::{self, Ask, Tell};
use super::state::{Node, lock, sleep};
use crate::dispatch::{JobKey, JobOutcome, JobRecord, JobStatus, Progress};
use crate::http::body;
use crate::model::{Span, Time};
use crate::platform::{
    CallError, Item, Queue, Revision, Txn, TxnError, decode_work, encode_pending, encode_state,
};

/// Header with the time in milliseconds that the caller waits.
const DEADLINE: &str = "Deadline-Ms";

/// Kept back from the caller's time for the way of the answer.
const ANSWER_MARGIN: Span = Span::from_millis(150);

/// Pause before a write without an answer is repeated.
const RETRY: Span = Span::from_millis(40);

/// Tries of a write in one request; the later ones only find out what became
/// of the first.
const TRIES: u32 = 3;

/// When to return after a refusal because the store doesn't answer. Outages last
/// seconds, and other hosts may be served.
const RETRY_AFTER_S: u32 = 1;

/// What became of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display, Serialize, Deserialize)]
#[display(rename_all = "lowercase")]
pub(crate) enum Verdict {
    /// It is stored.
    Stored,
    /// It is not stored and never will be.
    Refused,
    /// Not known.
    Unclear,
    /// There is no such job.
    Missing,
}

/// An answer to a caller.
#[derive(Debug)]
struct Reply {
    status: Status,
    body: String,
    retry: Option<u32>,
}

impl Reply {
    fn json(status: Status, body: String) -> Self {
        let retry = None;
        Self {
            status,
            body,
            retry,
        }
    }

    fn failed(status: Status, reason: &str) -> Self {
        let body = serde_json::json!({ "error": reason }).to_string();
        Self::json(status, body)
    }

    fn later(reason: &str) -> Self {
        Self {
            retry: Some(RETRY_AFTER_S),
            ..Self::failed(Status::ServiceUnavailable, reason)
        }
    }

    fn into_response(self, closing: bool) -> Response<'static> {
        let mut response = Response::new();
        response.set_status(self.status);
        response.set_header(ContentType::JSON);
        if let Some(seconds) = self.retry {
            response.set_header(Header::new("Retry-After", seconds.to_string()));
        }
        if closing {
            response.set_header(Header::new("Connection", "close"));
        }
        response.set_sized_body(self.body.len(), Cursor::new(self.body));
        response
    }
}

/// Answers callers.
#[derive(Clone)]
pub(crate) struct Calls(pub(crate) Arc<Node>);

impl Calls {
    pub(crate) fn routes(&self) -> Vec<Route> {
        [Method::Get, Method::Post, Method::Delete]
            .map(|m| Route::new(m, "/<path..>", self.clone()))
            .to_vec()
    }
}

#[rocket::async_trait]
impl Handler for Calls {
    async fn handle<'r>(&self, request: &'r Request<'_>, data: Data<'r>) -> Outcome<'r> {
        let node = &self.0;
        let _inflight = node.arrived();
        let began = node.now();
        let reply = serve(node, request, data, began).await;
        let took = node.now().since(began);
        let labels = [KeyValue::new("code", i64::from(reply.status.code))];
        node.figures.requests.add(1, &labels);
        node.figures.durations.record(took.as_secs_f64(), &[]);
        Outcome::Success(reply.into_response(node.is_draining()))
    }
}

async fn serve(node: &Arc<Node>, request: &Request<'_>, data: Data<'_>, began: Time) -> Reply {
    let Some(config) = node.config() else {
        return Reply::later("no configuration is known yet");
    };
    let host = request.headers().get_one("Host").unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let path = request.uri().path().as_str();
    let Some(queue) = config.queue(host, path) else {
        log::info!(host = host, path = path, version = config.operator.version; "no such queue");
        return Reply::failed(Status::NotFound, "no such queue");
    };
    let rest = path.get(queue.terms.prefix.len()..).unwrap_or_default();
    if rest.is_empty() {
        return match request.method() {
            Method::Get => pending(node, queue).await,
            _ => Reply::failed(
                Status::BadRequest,
                "the path must end with a job's identifier",
            ),
        };
    }
    let Some(key) = JobKey::parse(rest) else {
        let reason = "a job's identifier has 16 lower-case hexadecimal digits";
        return Reply::failed(Status::BadRequest, reason);
    };
    let wait = request
        .headers()
        .get_one(DEADLINE)
        .and_then(|v| v.trim().parse().ok())
        .map_or(queue.timeout, Span::from_millis)
        .min(queue.timeout);
    let until = began + wait.saturating_sub(ANSWER_MARGIN);
    match request.method() {
        Method::Post => match body::read(data, config.operator.body_limit).await {
            Ok(bytes) => submit(node, queue, key, &bytes, until).await,
            Err(_) => Reply::failed(Status::BadRequest, "the body is incomplete or too large"),
        },
        Method::Delete => cancel(node, key, until).await,
        _ => state(node, key).await,
    }
}

async fn submit(node: &Arc<Node>, queue: &Queue, key: JobKey, bytes: &[u8], until: Time) -> Reply {
    let work = match decode_work(bytes) {
        Ok(work) => work,
        Err(error) => {
            log::info!(job:% = key, error:% = error; "submission can't be read");
            return Reply::failed(
                Status::BadRequest,
                &format!("the job can't be read: {error}"),
            );
        }
    };
    if let Err(error) = work.check() {
        log::info!(job:% = key, error:% = error; "submission is not valid");
        return Reply::failed(Status::BadRequest, &error.to_string());
    }
    if queue.terms.ticket_lifetime.is_some() && node.settings.advice.is_none() {
        // An accepted job could never start: its workers ask for tickets.
        log::error!(job:% = key, queue:% = queue.terms.prefix; "job refused: the settings name no policy service");
        return Reply::later("the settings of this host name no policy service");
    }
    let record = JobRecord {
        queue: queue.terms.clone(),
        spec: work,
        accepted: node.wall(),
    };
    let began = node.now();
    let verdict = place_write(node, Write::Job(key, &record), until).await;
    log::info!(job:% = key, queue:% = queue.terms.prefix, verdict:% = verdict, took:% = node.now().since(began), store_lost = node.is_store_lost(); "submission answered");
    match verdict {
        Verdict::Stored => {
            tell_leader(node, Ask::Stored(key, record));
            Reply::json(Status::Ok, "{}".to_owned())
        }
        Verdict::Unclear => Reply::failed(
            Status::GatewayTimeout,
            "the store has not answered; send the same job again",
        ),
        Verdict::Refused | Verdict::Missing => {
            Reply::later("the job was not accepted: the store can't be reached")
        }
    }
}

async fn cancel(node: &Arc<Node>, key: JobKey, until: Time) -> Reply {
    let verdict = place_write(node, Write::Cancel(key), until).await;
    log::info!(job:% = key, verdict:% = verdict; "cancellation answered");
    match verdict {
        Verdict::Stored => {
            tell_leader(node, Ask::Cancelled(key));
            Reply::json(Status::Ok, "{}".to_owned())
        }
        Verdict::Missing => Reply::failed(Status::Gone, "no such job"),
        Verdict::Refused => Reply::later("the store can't be reached"),
        Verdict::Unclear => Reply::failed(
            Status::GatewayTimeout,
            "the store has not answered; send the same request again",
        ),
    }
}

/// A write for a caller. Repeating one has no further effect.
#[derive(Debug, Clone, Copy)]
enum Write<'a> {
    Job(JobKey, &'a JobRecord),
    Cancel(JobKey),
}

/// Makes a write through this host's store or the leader's, until its outcome
/// is known or there is no time left.
async fn place_write(node: &Node, write: Write<'_>, until: Time) -> Verdict {
    let mut unclear = false;
    for attempt in 0..TRIES {
        let remote = node
            .other_leader()
            .filter(|_| node.is_store_lost() || attempt == 1);
        let verdict = match (remote, write) {
            // Nothing was sent, so the refusal is true, and the caller may go to
            // another host at once.
            (None, _) if node.is_store_lost() && !unclear => return Verdict::Refused,
            (None, Write::Job(key, record)) => store_job(node, key, record).await,
            (None, Write::Cancel(key)) => store_cancel(node, key).await,
            (Some(leader), write) => {
                let ask = match write {
                    Write::Job(key, record) => Ask::Store(key, record.clone()),
                    Write::Cancel(key) => Ask::Cancel(key),
                };
                match peers::ask(node, leader.peers, &ask, peers::WRITE).await {
                    Ok(Tell::Verdict(verdict)) => verdict,
                    Ok(_) => Verdict::Refused,
                    Err(error) if error.had_no_effect() => Verdict::Refused,
                    Err(_) => Verdict::Unclear,
                }
            }
        };
        match verdict {
            Verdict::Stored | Verdict::Missing => return verdict,
            Verdict::Unclear => unclear = true,
            Verdict::Refused => {}
        }
        if node.now() + RETRY >= until {
            break;
        }
        sleep(RETRY).await;
    }
    match unclear {
        true => Verdict::Unclear,
        false => Verdict::Refused,
    }
}

/// Stores a job unless it is there.
pub(crate) async fn store_job(node: &Node, key: JobKey, record: &JobRecord) -> Verdict {
    let name = keys::job(key);
    let txn =
        Txn::default()
            .expect(&name, Revision::default())
            .put(&name, &keys::encode(record), None);
    match write(node, &txn).await {
        Ok(_) | Err(TxnError::Conflict) => Verdict::Stored,
        Err(TxnError::LeaseEnded) => Verdict::Refused,
        Err(TxnError::Call(error)) if error.had_no_effect() => Verdict::Refused,
        Err(TxnError::Call(error)) => {
            log::warn!(job:% = key, error:% = error; "write of a job not answered");
            Verdict::Unclear
        }
    }
}

/// Stores a job's cancellation if there is such a job.
pub(crate) async fn store_cancel(node: &Node, key: JobKey) -> Verdict {
    match read(node, &keys::job(key)).await {
        Ok(None) => return Verdict::Missing,
        Ok(Some(_)) => {}
        Err(_) => return Verdict::Refused,
    }
    let txn = Txn::default().put(keys::cancel(key), &[], None);
    match write(node, &txn).await {
        Ok(_) => Verdict::Stored,
        Err(TxnError::Call(error)) if !error.had_no_effect() => Verdict::Unclear,
        Err(_) => Verdict::Refused,
    }
}

async fn write(node: &Node, txn: &Txn) -> Result<Revision, TxnError> {
    let sent = node.now();
    let (answer, refused) = match node.kv.txn(txn).await {
        Ok(revision) => (Ok(Some(revision)), None),
        Err(TxnError::Call(error)) => (Err(error), None),
        Err(other) => (Ok(None), Some(other)),
    };
    let answer = node.store_called("txn", sent, answer)?;
    match (answer, refused) {
        (Some(revision), _) => Ok(revision),
        (None, Some(error)) => Err(error),
        (None, None) => Err(TxnError::Conflict),
    }
}

async fn read(node: &Node, key: &str) -> Result<Option<Item>, CallError> {
    let sent = node.now();
    let result = node.kv.get(key).await;
    node.store_called("key", sent, result).map(|r| r.content)
}

/// Lets the leader know at once; it also finds out from the store.
fn tell_leader(node: &Arc<Node>, ask: Ask) {
    if let Some(lead) = node.lead() {
        match ask {
            Ask::Stored(key, record) => lead.accept(node, key, record),
            Ask::Cancelled(key) => lead.cancel(node, key),
            _ => {}
        }
        return;
    }
    let Some(leader) = node.other_leader() else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move {
        if let Err(error) = peers::ask(&node, leader.peers, &ask, peers::QUICK).await {
            log::debug!(leader:% = leader.host, error:% = error; "leader not told; it will read the store");
        }
    });
}

async fn state(node: &Arc<Node>, key: JobKey) -> Reply {
    let known = match node.lead() {
        Some(lead) => lock(&lead.dispatcher).job_status(key),
        None => match node.other_leader() {
            None => None,
            Some(leader) => {
                match peers::ask(node, leader.peers, &Ask::State(key), peers::QUICK).await {
                    Ok(Tell::State(shown)) => shown.map(JobStatus::from),
                    Ok(_) => None,
                    Err(error) => {
                        log::debug!(error:% = error; "leader not reached; reading the store");
                        None
                    }
                }
            }
        },
    };
    let shown = match known {
        Some(shown) => Ok(Some(shown)),
        None => stored_state(node, key).await,
    };
    match shown {
        Ok(Some(shown)) => {
            log::debug!(job:% = key, state:% = shown; "state shown");
            Reply::json(Status::Ok, encode_state(shown))
        }
        Ok(None) => {
            log::info!(job:% = key; "no such job");
            Reply::failed(Status::Gone, "no such job")
        }
        Err(error) => {
            log::warn!(job:% = key, error:% = error; "state not known: neither leader nor store answers");
            Reply::later("neither the leader nor the store can be reached")
        }
    }
}

/// The state that the store shows; `None` if there is no such job.
async fn stored_state(node: &Node, key: JobKey) -> Result<Option<JobStatus>, CallError> {
    if read(node, &keys::job(key)).await?.is_none() {
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

async fn pending(node: &Arc<Node>, queue: &Queue) -> Reply {
    let terms = &queue.terms;
    if let Some(lead) = node.lead() {
        let pending = lock(&lead.dispatcher).pending_jobs(&terms.host, &terms.prefix);
        return Reply::json(Status::Ok, encode_pending(pending));
    }
    let Some(leader) = node.other_leader() else {
        return Reply::later("no leader is known");
    };
    let ask = Ask::Pending(terms.host.to_string(), terms.prefix.to_string());
    match peers::ask(node, leader.peers, &ask, peers::QUICK).await {
        Ok(Tell::Pending(pending)) => Reply::json(Status::Ok, encode_pending(pending as usize)),
        Ok(_) | Err(_) => Reply::later("the leader can't be reached"),
    }
}
