//! Client of the workers: starts, stops, paces and polls.

use std::net::SocketAddr;

use arcstr::ArcStr;
use reqwest::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::client::{CallError, HttpRequest, HttpResponse};
use super::numbers::Millis;
use super::worker_connections::{CallKind, WorkerConnections};
use crate::dispatch::{
    Incarnation, Order, PollReply, PollRequest, Refusal, Run, RunCompletion, RunOutcome, RunStatus,
    StartAnswer, StartReply, StopReply, TaskKey, WorkerOrder,
};
use crate::model::{Span, WorkerName, WorkerTime};

/// Timeout of an order. Workers answer within a round trip of at most 30 ms; one that
/// takes longer than this is not going to answer.
pub const ORDER_TIMEOUT: Span = Span::from_millis(700);

/// Timeout of a stop order. Shorter than that of a start, since a stop can be repeated without
/// harm: a third one has to end a cancelled task in time after two were lost.
pub const STOP_TIMEOUT: Span = Span::from_millis(400);

/// Added to the wait of a poll for its timeout.
pub const POLL_TIMEOUT_MARGIN: Span = Span::from_millis(900);

/// Header that names the worker instance for which a request is meant.
const EXPECTED_INSTANCE_HEADER: &str = "Expect-Instance";

/// Largest usage of a run, in milliseconds or millicores: sums of thousands can be calculated.
const MAX_AMOUNT: f64 = 1e12;

#[derive(Debug, Serialize)]
struct WireStart<'a> {
    task: String,
    run: u64,
    /// Payload of the job.
    spec: &'a str,
    /// Time on the worker's clock after which the start has no effect.
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
struct WirePoll {
    /// End of the worker's lease, on the worker's clock; absent if it is not extended.
    #[serde(skip_serializing_if = "Option::is_none")]
    deadline_ms: Option<u64>,
    fencing_token: u64,
    /// Number of the highest finished row that the worker may drop.
    acknowledged: u64,
    /// How long the worker may wait for a run to finish before it answers.
    #[serde(skip_serializing_if = "Option::is_none")]
    wait_ms: Option<u64>,
}

/// What every answer with a body has.
#[derive(Debug, Deserialize)]
struct WireClock {
    /// The worker's clock.
    clock_ms: Millis,
}

#[derive(Debug, Deserialize)]
struct WireRefusal {
    #[serde(default)]
    reason: String,
}

#[derive(Debug, Deserialize)]
struct WirePollReply {
    /// The worker's clock.
    clock_ms: Millis,
    /// Incarnation of the worker.
    #[serde(default)]
    born: Option<Incarnation>,
    #[serde(default)]
    running: Vec<Vec<Value>>,
    #[serde(default)]
    finished: Vec<Vec<Value>>,
}

/// Result of a poll.
#[derive(Debug)]
pub enum PollResult {
    /// The runs and outcomes that the worker listed.
    Reply(PollReply),
    /// The worker refused the poll because it has seen a higher fencing token.
    Fenced,
    /// Another worker has the address, so the process of the expected one has ended.
    Replaced,
}

/// The worker that a call is meant for.
#[derive(Debug, Clone, Copy)]
struct Target<'a> {
    address: SocketAddr,
    worker: &'a WorkerName,
}

impl<'a> Target<'a> {
    fn of(order: &'a WorkerOrder) -> Self {
        Self {
            address: order.address,
            worker: &order.worker,
        }
    }
}

/// Client of the workers for calls with one fencing token.
#[derive(Debug, Clone)]
pub(crate) struct WorkerClient {
    connections: WorkerConnections,
    /// Fencing token, sent with every order.
    token: u64,
}

impl WorkerClient {
    /// Creates a client that sends orders with a fencing token.
    pub(crate) fn new(connections: WorkerConnections, token: u64) -> Self {
        Self { connections, token }
    }

    async fn post<B: Serialize>(
        &self,
        kind: CallKind,
        target: Target<'_>,
        path: &str,
        body: &B,
        timeout: Span,
        may_send: impl Fn() -> bool,
    ) -> Result<HttpResponse, CallError> {
        let request = HttpRequest {
            peer: target.address,
            method: Method::POST,
            path,
            query: &[],
            headers: &[(EXPECTED_INSTANCE_HEADER, target.worker.as_str())],
            body: Some(body),
            timeout,
        };
        self.connections.call(kind, request, may_send).await
    }

    /// Starts a run. `may_send` is asked when there is a connection for the order. Returns `NotSent`
    /// for an order that is not a start.
    pub(crate) async fn start(
        &self,
        order: &WorkerOrder,
        may_send: impl Fn() -> bool,
    ) -> StartAnswer {
        let Order::Start {
            task,
            run,
            payload,
            deadline,
            checkpoint,
            ticket,
        } = &order.order
        else {
            return StartReply::NotSent.into();
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
        let response = self
            .post(
                CallKind::Order,
                Target::of(order),
                "/run-start",
                &body,
                ORDER_TIMEOUT,
                may_send,
            )
            .await;
        let response = match response {
            Err(CallError::NotSent(..) | CallError::Refused(..)) => {
                return StartReply::NotSent.into();
            }
            Err(error) => {
                log::debug!(error:% = error; "start order failed");
                return StartReply::NoAnswer.into();
            }
            Ok(response) => response,
        };
        StartAnswer {
            reply: match response.status.as_u16() {
                200 => StartReply::Started,
                409 => StartReply::Refused(decode_refusal(&response)),
                400 => StartReply::Malformed,
                421 | 429 | 503 => StartReply::Unhealthy,
                _ => StartReply::NoAnswer,
            },
            clock: decode_clock(&response),
        }
    }

    /// Stops a run. May wait for the end of a poll, if the worker accepts no further connection.
    pub async fn stop(&self, order: &WorkerOrder, task: TaskKey, run: Run) -> StopReply {
        self.make_stop(CallKind::Stop, order, task, run).await
    }

    /// Stops a run without a wait for the end of a poll. For relays: the leader waits for the
    /// result of a stop for less time, and takes a relay without results for a failed one.
    pub(crate) async fn stop_promptly(
        &self,
        order: &WorkerOrder,
        task: TaskKey,
        run: Run,
    ) -> StopReply {
        self.make_stop(CallKind::Order, order, task, run).await
    }

    async fn make_stop(
        &self,
        kind: CallKind,
        order: &WorkerOrder,
        task: TaskKey,
        run: Run,
    ) -> StopReply {
        let body = WireStop {
            task: task.to_string(),
            run: run.0,
            fencing_token: self.token,
        };
        let response = self
            .post(
                kind,
                Target::of(order),
                "/run-stop",
                &body,
                STOP_TIMEOUT,
                || true,
            )
            .await;
        match response {
            Ok(response) if response.status == StatusCode::OK => StopReply::Stopped,
            Ok(response)
                if response.status == StatusCode::CONFLICT
                    && decode_refusal(&response) == Refusal::Fence =>
            {
                StopReply::Fenced
            }
            Ok(_) => StopReply::NoAnswer,
            Err(error) => {
                log::info!(task:% = task, run:% = run, worker:% = order.worker, error:% = error; "stop order failed");
                StopReply::NoAnswer
            }
        }
    }

    /// Sets the pace of a run, in percent of its full speed. Returns whether the worker
    /// accepted it.
    pub async fn pace(&self, order: &WorkerOrder, task: TaskKey, run: Run, percent: u32) -> bool {
        let body = WirePace {
            task: task.to_string(),
            run: run.0,
            percent,
            fencing_token: self.token,
        };
        let response = self
            .post(
                CallKind::Order,
                Target::of(order),
                "/pace",
                &body,
                ORDER_TIMEOUT,
                || true,
            )
            .await;
        match response {
            Ok(response) if response.status == StatusCode::OK => true,
            Ok(response) => {
                log::warn!(task:% = task, worker:% = order.worker, status = response.status.as_u16(); "worker refused the pace order");
                false
            }
            Err(error) => {
                log::warn!(task:% = task, worker:% = order.worker, error:% = error; "pace order failed");
                false
            }
        }
    }

    /// Polls a worker: extends its lease and lists its runs and their outcomes.
    pub async fn poll(
        &self,
        worker: &WorkerName,
        request: &PollRequest,
    ) -> Result<PollResult, CallError> {
        let body = WirePoll {
            deadline_ms: request.lease_deadline.map(|d| d.as_micros() / 1_000),
            fencing_token: self.token,
            acknowledged: request.acknowledged,
            wait_ms: Some(request.wait.as_millis()).filter(|&ms| ms > 0),
        };
        let timeout = request.wait + POLL_TIMEOUT_MARGIN;
        let response = self
            .post(
                CallKind::Poll,
                Target {
                    address: request.address,
                    worker,
                },
                "/hold",
                &body,
                timeout,
                || true,
            )
            .await?;
        match response.status {
            StatusCode::OK => decode_poll_reply(worker, response.json()?)
                .map(PollResult::Reply)
                .map_err(|reason| CallError::UnreadableBody(request.address, reason)),
            StatusCode::CONFLICT if decode_refusal(&response) == Refusal::Fence => {
                Ok(PollResult::Fenced)
            }
            StatusCode::MISDIRECTED_REQUEST => Ok(PollResult::Replaced),
            _ => Err(response.unexpected_status()),
        }
    }
}

/// Reading of the worker's clock in an answer. Answers without a body have none.
fn decode_clock(response: &HttpResponse) -> Option<WorkerTime> {
    let clock: WireClock = response.json().ok()?;
    Some(WorkerTime::ZERO + clock.clock_ms.0)
}

/// The reason for which a worker refused an order. The texts are the platform's.
fn decode_refusal(response: &HttpResponse) -> Refusal {
    match response.json::<WireRefusal>() {
        Ok(refusal) => match refusal.reason.as_str() {
            "fence" => Refusal::Fence,
            "old" => Refusal::Old,
            "late" => Refusal::Late,
            "room" => Refusal::Room,
            "ticket" => Refusal::Ticket,
            other => {
                log::warn!(reason = other; "worker refused an order for an unknown reason");
                Refusal::Unknown
            }
        },
        Err(error) => {
            log::warn!(error:% = error; "worker refused an order and its reason can't be decoded");
            Refusal::Unknown
        }
    }
}

/// Decodes a reply to a poll. A row of a task that can't be read is an error: without it, a
/// run would count as ended, or its end as acknowledged, and the task would start again. Rows
/// of tasks that are none of this system's are logged and ignored.
fn decode_poll_reply(worker: &WorkerName, reply: WirePollReply) -> Result<PollReply, String> {
    let decode_rows = RowDecoder { worker };
    Ok(PollReply {
        incarnation: reply.born,
        clock: WorkerTime::ZERO + reply.clock_ms.0,
        running: decode_rows.decode("running", 0, &reply.running, decode_run_status)?,
        finished: decode_rows.decode("finished", 1, &reply.finished, decode_run_completion)?,
    })
}

/// Decodes the rows of a worker's reply.
struct RowDecoder<'a> {
    worker: &'a WorkerName,
}

impl RowDecoder<'_> {
    /// Decodes the rows of a list whose column `task` names the task.
    fn decode<T>(
        &self,
        list: &str,
        task: usize,
        rows: &[Vec<Value>],
        decode: impl Fn(&[Value]) -> Option<T>,
    ) -> Result<Vec<T>, String> {
        let mut decoded = Vec::with_capacity(rows.len());
        for row in rows {
            let named = row.get(task).and_then(Value::as_str);
            match decode(row) {
                Some(item) => decoded.push(item),
                None if named.is_some_and(|name| TaskKey::parse(name).is_none()) => {
                    log::warn!(worker:% = self.worker, list = list, row:? = row; "row of an unknown task in a worker's poll reply; ignored");
                }
                None => {
                    let row = Value::from(row.clone());
                    return Err(format!("row {row} of the list `{list}` can't be decoded"));
                }
            }
        }
        Ok(decoded)
    }
}

/// Decodes the body of a reply to a poll; for tests of the format.
#[cfg(test)]
pub(crate) fn decode_poll(bytes: &[u8]) -> Result<PollReply, String> {
    let reply = serde_json::from_slice(bytes).map_err(|e| e.to_string())?;
    decode_poll_reply(&WorkerName::new("w"), reply)
}

/// The name of a checkpoint; an empty text stands for none.
fn decode_checkpoint(value: Option<&Value>) -> Option<ArcStr> {
    let text = value?.as_str()?;
    (!text.is_empty()).then(|| ArcStr::from(text))
}

/// A percentage, a latency or an amount of processor time, rounded down.
fn decode_amount(value: &Value) -> Option<u64> {
    let amount = value.as_f64()?;
    (0.0..=MAX_AMOUNT)
        .contains(&amount)
        .then_some(amount as u64)
}

/// Decodes a row of a run: `[task, run, checkpoint, percent, usage]`, where `percent` is
/// the progress or the pace.
fn decode_run_status(row: &[Value]) -> Option<RunStatus> {
    Some(RunStatus {
        task: TaskKey::parse(row.first()?.as_str()?)?,
        run: Run(row.get(1)?.as_u64()?),
        checkpoint: decode_checkpoint(row.get(2)),
        percent: u32::try_from(decode_amount(row.get(3)?)?).ok()?,
        usage: row.get(4).map_or(Some(0), decode_amount)?,
    })
}

/// Decodes a row of an outcome: `[number, task, run, outcome, checkpoint]`.
fn decode_run_completion(row: &[Value]) -> Option<RunCompletion> {
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
        checkpoint: decode_checkpoint(row.get(4)),
    })
}
