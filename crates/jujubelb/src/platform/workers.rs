//! Calls to workers.

use arcstr::ArcStr;
use reqwest::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::client::{Answer, Call, CallError, Client};
use crate::dispatch::{
    Incarnation, Order, PollReply, PollRequest, Refusal, Run, RunCompletion, RunOutcome, RunStatus,
    StartReply, StopReply, TaskKey, WorkerOrder,
};
use crate::model::{Span, WorkerName, WorkerTime};

/// Time for an order. Workers answer within a round trip of at most 30 ms; one
/// that takes longer leaves orders unanswered.
const ORDER_LIMIT: Span = Span::from_millis(700);

/// Time beyond its wait that a look may take.
const LOOK_MARGIN: Span = Span::from_millis(900);

/// Header that names the incarnation that is meant.
const EXPECT: &str = "Expect-Instance";

#[derive(Debug, Serialize)]
struct WireStart<'a> {
    task: String,
    run: u64,
    spec: &'a str,
    /// A time on the worker's clock; the start has no effect after it.
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    checkpoint: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<&'a str>,
}

#[derive(Debug, Serialize)]
struct WireStop {
    task: String,
    run: u64,
    fencing_token: u64,
}

#[derive(Debug, Serialize)]
struct WirePace {
    task: String,
    run: u64,
    percent: u32,
    fencing_token: u64,
}

#[derive(Debug, Serialize)]
struct WireLook {
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    acknowledged: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct WireRefusal {
    #[serde(default)]
    reason: String,
}

#[derive(Debug, Deserialize)]
struct WireLists {
    clock_ms: f64,
    #[serde(default)]
    born: Option<Incarnation>,
    #[serde(default)]
    running: Vec<Vec<Value>>,
    #[serde(default)]
    finished: Vec<Vec<Value>>,
}

/// Answer to a look.
#[derive(Debug)]
pub enum Looked {
    /// The lists.
    Lists(PollReply),
    /// The worker has seen a higher token.
    Fenced,
}

/// Client of the workers, with one fencing token.
#[derive(Debug, Clone)]
pub struct Workers {
    client: Client,
    token: u64,
}

impl Workers {
    /// A client that orders with this token.
    pub fn new(client: Client, token: u64) -> Self {
        Self { client, token }
    }

    async fn post<B: Serialize>(
        &self,
        peer: std::net::SocketAddr,
        worker: &WorkerName,
        path: &str,
        body: &B,
        limit: Span,
    ) -> Result<Answer, CallError> {
        self.client
            .call(Call {
                peer,
                method: Method::POST,
                path,
                query: &[],
                headers: &[(EXPECT, worker.as_str())],
                body: Some(body),
                limit,
            })
            .await
    }

    /// Starts a run.
    pub async fn start(&self, dispatch: &WorkerOrder) -> StartReply {
        let Order::Start {
            task,
            run,
            payload,
            deadline,
            checkpoint,
            ticket,
        } = &dispatch.order
        else {
            return StartReply::NotSent;
        };
        let body = WireStart {
            task: task.to_string(),
            run: run.0,
            spec: payload,
            deadline_ms: deadline.as_micros() / 1_000,
            fencing_token: self.token,
            checkpoint: checkpoint.as_deref(),
            ticket: ticket.as_deref(),
        };
        let answer = self
            .post(
                dispatch.address,
                &dispatch.worker,
                "/run-start",
                &body,
                ORDER_LIMIT,
            )
            .await;
        match answer {
            Err(CallError::NotSent(..)) => StartReply::NotSent,
            Err(error) => {
                log::debug!(error:% = error; "start failed");
                StartReply::NoAnswer
            }
            Ok(answer) => match answer.status.as_u16() {
                200 => StartReply::Started,
                409 => StartReply::Refused(refusal(&answer)),
                400 => StartReply::Malformed,
                421 | 429 | 503 => StartReply::Unhealthy,
                _ => StartReply::NoAnswer,
            },
        }
    }

    /// Stops a run.
    pub async fn stop(&self, dispatch: &WorkerOrder, task: TaskKey, run: Run) -> StopReply {
        let body = WireStop {
            task: task.to_string(),
            run: run.0,
            fencing_token: self.token,
        };
        let answer = self
            .post(
                dispatch.address,
                &dispatch.worker,
                "/run-stop",
                &body,
                ORDER_LIMIT,
            )
            .await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => StopReply::Stopped,
            Ok(answer)
                if answer.status == StatusCode::CONFLICT && refusal(&answer) == Refusal::Fence =>
            {
                StopReply::Fenced
            }
            _ => StopReply::NoAnswer,
        }
    }

    /// Sets the pace of a run. An order without effect is corrected by the next one.
    pub async fn pace(
        &self,
        dispatch: &WorkerOrder,
        task: TaskKey,
        run: Run,
        percent: u32,
    ) -> bool {
        let body = WirePace {
            task: task.to_string(),
            run: run.0,
            percent,
            fencing_token: self.token,
        };
        let answer = self
            .post(
                dispatch.address,
                &dispatch.worker,
                "/pace",
                &body,
                ORDER_LIMIT,
            )
            .await;
        match answer {
            Ok(answer) if answer.status == StatusCode::OK => true,
            Ok(answer) => {
                log::warn!(task:% = task, worker:% = dispatch.worker, status = answer.status.as_u16(); "pace refused");
                false
            }
            Err(error) => {
                log::warn!(task:% = task, worker:% = dispatch.worker, error:% = error; "pace not answered");
                false
            }
        }
    }

    /// Looks at a worker and extends its lease.
    pub async fn look(
        &self,
        worker: &WorkerName,
        request: &PollRequest,
    ) -> Result<Looked, CallError> {
        let body = WireLook {
            deadline_ms: request.lease_deadline.map(|d| d.as_micros() / 1_000),
            fencing_token: self.token,
            acknowledged: request.acknowledged,
            wait_ms: Some(request.wait.as_millis()).filter(|&ms| ms > 0),
        };
        let limit = request.wait + LOOK_MARGIN;
        let answer = self
            .post(request.address, worker, "/hold", &body, limit)
            .await?;
        match answer.status {
            StatusCode::OK => Ok(Looked::Lists(lists(worker, answer.json()?))),
            StatusCode::CONFLICT if refusal(&answer) == Refusal::Fence => Ok(Looked::Fenced),
            _ => Err(answer.unexpected()),
        }
    }
}

fn refusal(answer: &Answer) -> Refusal {
    match answer.json::<WireRefusal>() {
        Ok(refusal) => match refusal.reason.as_str() {
            "fence" => Refusal::Fence,
            "old" => Refusal::Old,
            "late" => Refusal::Late,
            "room" => Refusal::Room,
            "ticket" => Refusal::Ticket,
            other => {
                log::warn!(reason = other; "worker refused for an unknown reason");
                Refusal::Unknown
            }
        },
        Err(error) => {
            log::warn!(error:% = error; "worker refused without a readable reason");
            Refusal::Unknown
        }
    }
}

fn lists(worker: &WorkerName, lists: WireLists) -> PollReply {
    let decode = |row: &Vec<Value>, what: &str| {
        log::warn!(worker:% = worker, list = what, row:? = row; "row of a worker's list can't be read; left out");
    };
    let running = lists.running.iter().filter_map(|row| {
        let decoded = run_row(row);
        if decoded.is_none() {
            decode(row, "running");
        }
        decoded
    });
    let finished = lists.finished.iter().filter_map(|row| {
        let decoded = end_row(row);
        if decoded.is_none() {
            decode(row, "finished");
        }
        decoded
    });
    PollReply {
        incarnation: lists.born,
        clock: WorkerTime::from_micros((lists.clock_ms.max(0.0) * 1e3) as u64),
        running: running.collect(),
        finished: finished.collect(),
    }
}

fn saved(value: Option<&Value>) -> Option<ArcStr> {
    let text = value?.as_str()?;
    (!text.is_empty()).then(|| ArcStr::from(text))
}

/// A row `[task, run, saved, percent, usage]`.
fn run_row(row: &[Value]) -> Option<RunStatus> {
    Some(RunStatus {
        task: TaskKey::parse(row.first()?.as_str()?)?,
        run: Run(row.get(1)?.as_u64()?),
        checkpoint: saved(row.get(2)),
        percent: row.get(3)?.as_f64()? as u32,
        usage: row.get(4).and_then(Value::as_f64).map_or(0, |u| u as u64),
    })
}

/// A row `[number, task, run, how, saved]`.
fn end_row(row: &[Value]) -> Option<RunCompletion> {
    let outcome = match row.get(3)?.as_str()? {
        "done" => RunOutcome::Done,
        "failed" => RunOutcome::Failed,
        "stopped" => RunOutcome::Stopped,
        "lapsed" => RunOutcome::Lapsed,
        "broken" => RunOutcome::Broken,
        "alone" => RunOutcome::Alone,
        _ => return None,
    };
    Some(RunCompletion {
        sequence: row.first()?.as_u64()?,
        task: TaskKey::parse(row.get(1)?.as_str()?)?,
        run: Run(row.get(2)?.as_u64()?),
        outcome,
        checkpoint: saved(row.get(4)),
    })
}
