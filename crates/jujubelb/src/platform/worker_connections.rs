//! Connections to workers.
//!
//! A worker accepts 64 connections from all hosts together. Each process has at most [`PLACES`] to
//! one worker, whatever it calls it for, as the leader or as a relay. Eight processes may then hold
//! that many at the same time: the one that calls the worker now, and earlier ones that could not
//! close theirs because they were paused or cut off. A process that stops leading closes its
//! connections to workers, and one that stops relaying lets them become idle.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use indexmap::IndexMap;
use serde::Serialize;
use tokio::sync::{Semaphore, SemaphorePermit};

use super::client::{CallError, HttpClient, HttpRequest, HttpResponse};
use super::connections::{ConnectionCounts, IdleLimits};
use crate::model::Span;

/// Largest number of connections of one process to one worker.
pub(crate) const PLACES: usize = 8;

/// Places that only polls take, because they extend the worker's lease. A relay may make a poll for
/// a new leader while that of the former one still waits.
const POLL_PLACES: usize = 2;

/// Places for starts, stops and paces. The stops of 630 runs, each with a round trip of 25 ms, take
/// 2.6 s with all of them, which is in time for a cancelled job.
pub(crate) const ORDER_PLACES: usize = PLACES - POLL_PLACES;

/// Idle connections to a worker for each kind of call.
///
/// The timeout gives back the places of a process that does not call the worker any more; one that
/// does calls it more often, since a poll lasts 2 s at most. Connections that go silent for good may
/// keep their places at the worker although this process closes them, so that few are left idle
/// when more silences have to be expected.
const IDLE_LIMITS: IdleLimits = IdleLimits {
    count: ORDER_PLACES,
    after_timeout: 1,
    timeout: Span::from_secs(10),
};

/// How long a stop waits for the connection of the polls, which is free when a poll is answered. A
/// worker waits for 1.5 s at most before it answers one.
const POLL_END_LIMIT: Span = Span::from_secs(2);

/// What a call needs a place for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallKind {
    Poll,
    /// A start or a pace.
    Order,
    /// An order that uses the connection of the polls if the worker accepts no further one. Without
    /// it, the polls would extend the lease of a run that can't be stopped.
    Stop,
}

/// Connections of this process to workers, of its terms as the leader and as a relay.
#[derive(Debug, Clone)]
pub(crate) struct WorkerConnections {
    /// Clients for each kind of call. They open a connection only for a call that finds no idle
    /// one, so that there are never more connections to a worker than calls that have had a place
    /// at the same time.
    polls: HttpClient,
    orders: HttpClient,
    places: Arc<Mutex<IndexMap<SocketAddr, Arc<Places>>>>,
}

/// Places at one worker.
#[derive(Debug)]
struct Places {
    polls: PlacesOfKind,
    orders: PlacesOfKind,
}

/// Places for one kind of call.
#[derive(Debug)]
struct PlacesOfKind {
    free: Semaphore,
    /// Number of calls that wait for one.
    waiting: AtomicUsize,
}

impl PlacesOfKind {
    fn new(count: usize) -> Self {
        Self {
            free: Semaphore::new(count),
            waiting: AtomicUsize::new(0),
        }
    }

    /// Takes a place; `None` if there is none within `limit`.
    async fn take(&self, limit: Span) -> Option<SemaphorePermit<'_>> {
        let _waiting = Waiting::new(&self.waiting);
        let place = tokio::time::timeout(limit.to_std(), self.free.acquire()).await;
        place.ok()?.ok()
    }

    /// Takes `count` places, which have to be all, before calls that begin to wait later; `None`
    /// if they are not free within `limit`.
    async fn take_all(&self, count: usize, limit: Span) -> Option<SemaphorePermit<'_>> {
        let places = self.free.acquire_many(u32::try_from(count).ok()?);
        tokio::time::timeout(limit.to_std(), places)
            .await
            .ok()?
            .ok()
    }
}

/// Counts a call as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Relaxed);
        Self(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Relaxed);
    }
}

impl Default for WorkerConnections {
    fn default() -> Self {
        Self {
            polls: HttpClient::new(IDLE_LIMITS),
            orders: HttpClient::new(IDLE_LIMITS),
            places: Arc::default(),
        }
    }
}

impl WorkerConnections {
    /// Makes a call when there is a place for it. Calls of the same kind get places in their order.
    /// A call that gets none within its timeout is not made; one that does has its timeout from
    /// then on. Nor is it made if `may_send` says no when it has its place.
    pub(super) async fn call<B: Serialize>(
        &self,
        kind: CallKind,
        call: HttpRequest<'_, B>,
        may_send: impl Fn() -> bool,
    ) -> Result<HttpResponse, CallError> {
        let (peer, timeout) = (call.peer, call.timeout);
        let places = self.places(peer);
        let (client, other, of_kind) = match kind {
            CallKind::Poll => (&self.polls, &self.orders, &places.polls),
            CallKind::Order | CallKind::Stop => (&self.orders, &self.polls, &places.orders),
        };
        let Some(place) = of_kind.take(timeout).await else {
            log::info!(address:% = peer, call = call.path, waited:% = timeout; "call to a worker not made: all connections to it are in use");
            let reason = format!("all connections are in use for {timeout}");
            return Err(CallError::NotSent(peer, reason));
        };
        if !may_send() {
            let reason = "the call must not be made any more".to_owned();
            return Err(CallError::NotSent(peer, reason));
        }
        let waiting = || of_kind.waiting.load(Relaxed);
        let result = client.call_with_waiting(&call, waiting).await;
        drop(place);
        match result {
            Err(CallError::TimedOut(..)) => other.suspect(peer),
            Err(CallError::Refused(..) | CallError::NoResponse(..)) if kind == CallKind::Stop => {
                let between_polls = self.call_between_polls(&call, &places.polls).await;
                return between_polls.unwrap_or(result);
            }
            _ => {}
        }
        result
    }

    /// Makes a call on an idle connection of the polls, when no poll uses one. Polls that begin
    /// meanwhile wait for it. `None` if there is no such connection within [`POLL_END_LIMIT`].
    async fn call_between_polls<B: Serialize>(
        &self,
        call: &HttpRequest<'_, B>,
        polls: &PlacesOfKind,
    ) -> Option<Result<HttpResponse, CallError>> {
        let _places = polls.take_all(POLL_PLACES, POLL_END_LIMIT).await?;
        if !self.polls.has_idle(call.peer) {
            return None;
        }
        log::info!(address:% = call.peer, call = call.path; "worker accepts no further connection; the call uses that of the polls");
        let result = self.polls.call_with_waiting(call, || 0).await;
        if let Err(CallError::TimedOut(..)) = result {
            self.orders.suspect(call.peer);
        }
        Some(result)
    }

    /// Closes all connections, those in use when their call ends.
    pub(crate) fn close_all(&self) {
        let closed = self.polls.close_all() + self.orders.close_all();
        log::info!(closed = closed; "idle connections to workers closed");
    }

    /// Closes the connections that have been idle for too long.
    pub(crate) fn close_unused(&self) {
        self.polls.close_unused();
        self.orders.close_unused();
        // Clones belong to calls.
        self.lock().retain(|_, p| Arc::strong_count(p) > 1);
    }

    /// Numbers of connections to all workers.
    pub(crate) fn connection_counts(&self) -> ConnectionCounts {
        let polls = self.polls.connection_counts();
        let orders = self.orders.connection_counts();
        ConnectionCounts {
            open: polls.open + orders.open,
            idle: polls.idle + orders.idle,
        }
    }

    fn places(&self, worker: SocketAddr) -> Arc<Places> {
        let new_places = || {
            Arc::new(Places {
                polls: PlacesOfKind::new(POLL_PLACES),
                orders: PlacesOfKind::new(ORDER_PLACES),
            })
        };
        let mut places = self.lock();
        places.entry(worker).or_insert_with(new_places).clone()
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<SocketAddr, Arc<Places>>> {
        // No holder can leave the data inconsistent.
        self.places.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
