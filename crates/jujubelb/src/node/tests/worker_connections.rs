//! Connections to workers, which accept a limited number from all hosts together.

use std::cell::Cell;
use std::sync::Arc;

use tokio::time::{Duration, sleep, timeout};

use super::super::relay::{OpenGateway, WorkerGateway};
use super::limited_worker::LimitedWorker;
use crate::dispatch::{
    JobKey, Order, PollRequest, Run, StartReply, StepKey, StopReply, TaskKey, WorkerOrder,
};
use crate::model::{Span, WorkerName, WorkerTime};
use crate::platform::{ORDER_PLACES, PLACES, WorkerConnections};
use crate::telemetry::{self, Metrics};

/// Connections that a worker accepts.
const WORKER_LIMIT: usize = 64;

/// How long a test waits for what has to happen. Only ends a test that hangs.
const LIMIT: Duration = Duration::from_secs(20);

/// Gateway of a term of a process with these connections.
fn gateway(connections: &WorkerConnections) -> Arc<WorkerGateway> {
    let calls = Metrics::new().unwrap().counter(&telemetry::RELAY_CALLS);
    Arc::new(WorkerGateway::new(connections.clone(), 1, 1, calls))
}

fn task(index: u32) -> TaskKey {
    let (job, occurrence, step) = (JobKey(1), 0, 0);
    TaskKey {
        step: StepKey {
            job,
            occurrence,
            step,
        },
        index,
    }
}

fn order(address: std::net::SocketAddr, order: Order) -> WorkerOrder {
    let worker = WorkerName::new("w");
    WorkerOrder {
        worker,
        address,
        order,
    }
}

/// Sends stops of as many runs at the same time.
async fn stop_runs(
    gateway: &Arc<WorkerGateway>,
    address: std::net::SocketAddr,
    count: u32,
) -> Vec<StopReply> {
    let stops = (0..count).map(|index| {
        let (gateway, task, run) = (gateway.clone(), task(index), Run(1));
        tokio::spawn(async move {
            let order = order(address, Order::Stop { task, run });
            gateway.stop(&order, task, run).await
        })
    });
    let mut replies = Vec::new();
    for stop in stops.collect::<Vec<_>>() {
        replies.push(stop.await.unwrap());
    }
    replies
}

async fn await_open(worker: &LimitedWorker, count: usize) {
    let reached = async {
        while worker.open() != count {
            sleep(Duration::from_millis(2)).await;
        }
    };
    let reached = timeout(LIMIT, reached).await;
    assert!(reached.is_ok(), "{} connections are open", worker.open());
}

/// Guards against connections of an earlier call that keep their places at a worker after they went
/// silent, until it accepts no new ones.
#[tokio::test]
async fn connections_that_went_silent_give_their_places_back() {
    const CALLS: u32 = 4;
    let (worker, address) = LimitedWorker::start(2 * CALLS as usize).await;
    let connections = WorkerConnections::default();
    let gateway = gateway(&connections);
    for _ in 0..6 {
        let replies = stop_runs(&gateway, address, CALLS).await;
        assert_eq!(replies, [StopReply::Stopped; CALLS as usize]);
        worker.silence();
        let replies = stop_runs(&gateway, address, 1).await;
        assert_eq!(replies, [StopReply::NoAnswer]);
        await_open(&worker, 0).await;
    }
    assert_eq!(worker.refused(), 0);
}

/// Guards against a former leader that keeps the places which its successor needs at a worker.
#[tokio::test]
async fn the_connections_to_workers_are_closed_at_the_end_of_a_term() {
    let (worker, address) = LimitedWorker::start(WORKER_LIMIT).await;
    let connections = WorkerConnections::default();
    let gateway = gateway(&connections);
    let replies = stop_runs(&gateway, address, 6).await;
    assert_eq!(replies, [StopReply::Stopped; 6]);
    assert!(worker.open() > 0);
    drop(OpenGateway(gateway));
    await_open(&worker, 0).await;
}

/// Polls a worker again and again, and returns how often it answered.
async fn poll_repeatedly(
    gateway: &WorkerGateway,
    address: std::net::SocketAddr,
    polls: usize,
) -> usize {
    let request = PollRequest::new(
        address,
        Some(WorkerTime::from_micros(6_000_000)),
        Span::ZERO,
    );
    let mut answered = 0;
    for _ in 0..polls {
        let answer = gateway.poll(&WorkerName::new("w"), &request).await;
        answered += usize::from(answer.is_ok());
    }
    answered
}

/// Guards against stops of a large job that take all connections of a worker, so that neither they
/// nor the polls that extend its lease get through.
#[tokio::test]
async fn polls_get_through_beside_bursts_of_stops() {
    const POLLS: usize = 20;
    let (worker, address) = LimitedWorker::start(WORKER_LIMIT).await;
    let connections = WorkerConnections::default();
    let gateway = gateway(&connections);
    let stops = stop_runs(&gateway, address, 300);
    let polls = poll_repeatedly(&gateway, address, POLLS);
    let (replies, answered) = tokio::join!(stops, polls);
    assert_eq!(answered, POLLS);
    let stopped = replies.iter().filter(|r| **r == StopReply::Stopped);
    assert!(stopped.count() > 200);
    assert!(worker.most_open() <= PLACES, "{}", worker.most_open());
    assert_eq!(worker.refused(), 0);
}

/// Guards against a worker that can't be polled any more after silences and bursts of stops in
/// turn.
#[tokio::test]
async fn polls_get_through_after_silences_and_bursts_of_stops() {
    let (worker, address) = LimitedWorker::start(WORKER_LIMIT).await;
    let connections = WorkerConnections::default();
    let gateway = gateway(&connections);
    for _ in 0..4 {
        stop_runs(&gateway, address, 40).await;
        worker.silence();
        stop_runs(&gateway, address, 40).await;
        assert_eq!(poll_repeatedly(&gateway, address, 2).await, 2);
    }
    assert!(worker.most_open() <= PLACES, "{}", worker.most_open());
    assert_eq!(worker.refused(), 0);
}

/// Guards against silences in a row that take all places of a worker which does not learn that
/// silent connections were closed.
#[tokio::test]
async fn polls_get_through_after_many_silences_that_the_worker_does_not_notice() {
    const SILENCES: usize = 14;
    const CALLS: u32 = 6;
    let (worker, address) = LimitedWorker::start_unaware(WORKER_LIMIT).await;
    let connections = WorkerConnections::default();
    let gateway = gateway(&connections);
    for silence in 1..=SILENCES {
        stop_runs(&gateway, address, CALLS).await;
        assert_eq!(poll_repeatedly(&gateway, address, 1).await, 1);
        worker.silence();
        let stops = stop_runs(&gateway, address, CALLS);
        let polls = poll_repeatedly(&gateway, address, 1);
        tokio::join!(stops, polls);
        assert_eq!(worker.refused(), 0, "after {silence} silences");
    }
    assert_eq!(poll_repeatedly(&gateway, address, 2).await, 2);
}

/// Guards against a cancelled task that runs on because its worker accepts no connection for the
/// stop, while the polls have one and extend its lease.
#[tokio::test]
async fn stops_get_through_to_a_worker_that_accepts_no_further_connection() {
    const POLLS: usize = 20;
    const STOPS: u32 = 6;
    let (worker, address) = LimitedWorker::start(1).await;
    let connections = WorkerConnections::default();
    let gateway = gateway(&connections);
    assert_eq!(poll_repeatedly(&gateway, address, 1).await, 1);
    let stops = stop_runs(&gateway, address, STOPS);
    let polls = poll_repeatedly(&gateway, address, POLLS);
    let (replies, answered) = tokio::join!(stops, polls);
    assert!(worker.refused() > 0);
    assert_eq!(replies, [StopReply::Stopped; STOPS as usize]);
    assert_eq!(worker.received("/run-stop"), STOPS as usize);
    assert_eq!(answered, POLLS);
}

/// Guards against a start that waits for a connection while its worker restarts, and is sent all
/// the same.
#[tokio::test]
async fn a_start_that_has_waited_for_a_connection_is_checked_before_it_is_sent() {
    let (worker, address) = LimitedWorker::start(WORKER_LIMIT).await;
    let connections = WorkerConnections::default();
    let gateway = gateway(&connections);
    stop_runs(&gateway, address, ORDER_PLACES as u32).await;
    worker.silence();
    let start = order(
        address,
        Order::Start {
            task: task(0),
            run: Run(1),
            payload: "payload".into(),
            deadline: WorkerTime::from_micros(6_000_000),
            checkpoint: None,
            ticket: None,
        },
    );
    let permitted = Cell::new(true);
    let starting = async {
        sleep(Duration::from_millis(20)).await;
        gateway.start(&start, || permitted.get()).await.reply
    };
    let restarting = async {
        sleep(Duration::from_millis(40)).await;
        permitted.set(false);
    };
    let stops = stop_runs(&gateway, address, ORDER_PLACES as u32);
    let (_, reply, ()) = tokio::join!(stops, starting, restarting);
    assert_eq!(reply, StartReply::NotSent);
    assert_eq!(worker.received("/run-start"), 0);
}
