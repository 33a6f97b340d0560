//! The calls of a worker.

use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::emulator::fleet::Fleet;
use crate::emulator::history::{History, TaskName};
use crate::emulator::http::{Reply, Request, Service};
use crate::emulator::worker::{Refusal, StartOrder, Worker};

/// Header with the name of the life for which a request is meant.
const EXPECTED_HEADER: &str = "expect-instance";

/// Longest wait of a call for an end.
const MAX_WAIT: Duration = Duration::from_millis(2_000);

/// The calls of the worker at one place.
#[derive(Debug)]
pub(crate) struct WorkerApi {
    pub(crate) fleet: Arc<Fleet>,
    pub(crate) place: usize,
    pub(crate) history: Arc<History>,
}

#[derive(Deserialize)]
struct StartBody {
    task: String,
    run: u64,
    spec: ArcStr,
    deadline_ms: u64,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    checkpoint: Option<ArcStr>,
}

#[derive(Deserialize)]
struct StopBody {
    task: String,
    run: u64,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct PaceBody {
    task: String,
    run: u64,
    percent: u64,
    #[serde(default)]
    fencing_token: u64,
}

#[derive(Deserialize)]
struct HoldBody {
    #[serde(default)]
    deadline_ms: Option<u64>,
    #[serde(default)]
    fencing_token: u64,
    #[serde(default)]
    acknowledged: u64,
    #[serde(default)]
    wait_ms: u64,
}

fn parse<T: DeserializeOwned>(request: &Request) -> Option<T> {
    serde_json::from_slice(&request.body).ok()
}

impl WorkerApi {
    fn reply(&self, result: Option<Result<(), Refusal>>) -> Reply {
        let clock_ms = self.fleet.with(self.place, |w, _, now| w.clock_ms(now));
        let (Some(result), Some(clock_ms)) = (result, clock_ms) else {
            return Reply::empty(421);
        };
        match result {
            Ok(()) => Reply::new(200, &json!({"clock_ms": clock_ms})),
            Err(refusal) => {
                let reason = refusal.to_string();
                Reply::new(409, &json!({"clock_ms": clock_ms, "reason": reason}))
            }
        }
    }

    fn start(&self, request: &Request) -> Reply {
        let Some(body) = parse::<StartBody>(request) else {
            return Reply::empty(400);
        };
        let Some(task) = TaskName::parse(&body.task) else {
            return Reply::empty(400);
        };
        let order = StartOrder {
            task,
            run: body.run,
            payload: body.spec,
            deadline_ms: body.deadline_ms,
            token: body.fencing_token,
            checkpoint: body.checkpoint.filter(|c| !c.is_empty()),
            late: request.late,
            fails: false,
        };
        self.reply(self.fleet.start(self.place, order))
    }

    fn stop(&self, request: &Request) -> Reply {
        let Some(body) = parse::<StopBody>(request) else {
            return Reply::empty(400);
        };
        let Some(task) = TaskName::parse(&body.task) else {
            return Reply::empty(400);
        };
        let takes = self.fleet.draw_stop();
        self.reply(self.fleet.with(self.place, |worker, _, now| {
            worker.stop(&task, body.run, body.fencing_token, takes, now)
        }))
    }

    fn pace(&self, request: &Request) -> Reply {
        let Some(body) = parse::<PaceBody>(request).filter(|b| b.percent <= 100) else {
            return Reply::empty(400);
        };
        let Some(task) = TaskName::parse(&body.task) else {
            return Reply::empty(400);
        };
        let (percent, token) = (body.percent, body.fencing_token);
        self.reply(self.fleet.with(self.place, |worker, _, now| {
            worker.pace(&task, body.run, percent, token, now)
        }))
    }

    async fn hold(&self, request: &Request) -> Reply {
        let Some(body) = parse::<HoldBody>(request) else {
            return Reply::empty(400);
        };
        let held = self.fleet.with(self.place, |worker, _, now| {
            let (token, number) = (body.fencing_token, body.acknowledged);
            let held = worker.hold(token, body.deadline_ms, number, now, &self.history);
            held.map(|()| worker.life.clone())
        });
        let life = match held {
            Some(Ok(life)) => life,
            refused => return self.reply(refused.map(|r| r.map(|_| ()))),
        };
        let wait = Duration::from_millis(body.wait_ms).min(MAX_WAIT);
        let until = tokio::time::Instant::now() + wait;
        loop {
            let ended = self.fleet.ended.notified();
            let over = tokio::time::Instant::now() >= until;
            let lists = self.fleet.with(self.place, |worker, _, now| {
                let due = worker.finished().next().is_some() || over;
                (worker.life == life).then(|| due.then(|| lists(worker, now)))
            });
            match lists.flatten() {
                // A life that has ended answers nothing; the link may end the call.
                None => std::future::pending().await,
                Some(Some(lists)) => return Reply::new(200, &lists),
                // Both outcomes lead to another look.
                Some(None) => drop(tokio::time::timeout_at(until, ended).await),
            }
        }
    }
}

impl Service for WorkerApi {
    async fn serve(&self, request: Request) -> Reply {
        let name = self.fleet.with(self.place, |w, _, _| w.life.name.clone());
        let Some(name) = name else {
            return Reply::empty(421);
        };
        let expected = request.headers.get(EXPECTED_HEADER);
        if expected.is_some_and(|e| *e != *name) {
            return Reply::empty(421);
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/run-start") => self.start(&request),
            ("POST", "/run-stop") => self.stop(&request),
            ("POST", "/pace") => self.pace(&request),
            ("POST", "/hold") => self.hold(&request).await,
            _ => Reply::empty(400),
        }
    }
}

/// The lists of runs and of ends.
fn lists(worker: &Worker, now: Duration) -> Value {
    let running = worker.runs().map(|(task, run, state)| {
        let saved = state.saved.as_deref().unwrap_or_default();
        let usage = worker.usage(task, state, now);
        json!([task.to_string(), run, saved, state.percent(now), usage])
    });
    let finished = worker.finished().map(|end| {
        let saved = end.saved.as_deref().unwrap_or_default();
        let how = end.end.to_string();
        json!([end.number, end.task.to_string(), end.run, how, saved])
    });
    json!({
        "clock_ms": worker.clock_ms(now),
        "born": worker.born_ms,
        "running": running.collect::<Vec<_>>(),
        "finished": finished.collect::<Vec<_>>(),
    })
}
