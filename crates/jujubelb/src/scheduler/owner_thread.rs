//! The thread that runs the owners of all shards of this process.

use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::oneshot;

use super::Scheduler;
use super::ownership::AcquiredShard;
use super::sync_pool::{SyncCall, SyncPool};
use super::term::{Term, not_owner_reply, opening_reply};
use crate::config::Config;
use crate::model::{Code, JobName, ShardName, Span, Time};
use crate::peer::{Call, NodeView, PeerEvent, Query, Reply};
use crate::process::{ConfigEvent, Running};
use crate::shard::{Input, Output};
use crate::telemetry::{QueueReceiver, QueueSender};

/// Longest wait for input. Owners need a tick at least every 100 ms.
const MAX_WAIT: Span = Span::from_millis(50);

/// Interval of publishing the summaries of the owned shards.
const SUMMARY_INTERVAL: Span = Span::from_millis(200);

/// A request to the owner thread.
#[derive(Debug)]
pub(super) enum OwnerRequest {
    /// A call of a peer or an operator, and where its reply goes.
    Call(Box<Call>, oneshot::Sender<Reply>),
    /// Input for the owner of one shard.
    Input(ShardName, Box<Input>),
    /// Returns the jobs of all owned shards that are not cancelled.
    Jobs(std::sync::mpsc::SyncSender<Vec<JobName>>),
    /// Hands all shards over and replies when this is complete.
    Stop(oneshot::Sender<()>),
}

/// Queues that the owner thread reads.
pub(super) struct OwnerQueues {
    pub(super) config: QueueReceiver<ConfigEvent>,
    pub(super) peers: QueueReceiver<PeerEvent>,
    pub(super) requests: QueueReceiver<OwnerRequest>,
    pub(super) acquired: QueueReceiver<AcquiredShard>,
}

/// State of the owner thread.
pub(super) struct OwnerThread {
    scheduler: Arc<Scheduler>,
    queues: OwnerQueues,
    pool: SyncPool,
    ended: QueueSender<ShardName>,
    /// Shards whose term ended, but which did not fit the queue to the ownership thread.
    unreported: Vec<ShardName>,
    terms: IndexMap<ShardName, Term>,
    config: Arc<Config>,
    /// Start of the last read that confirmed `config`. Both come through one queue in
    /// order, so that the evidence never belongs to a later configuration.
    evidence: Option<Time>,
    stopping: Option<oneshot::Sender<()>>,
    last_published: Time,
}

impl OwnerThread {
    /// The state before the first shard is acquired.
    pub(super) fn new(
        scheduler: Arc<Scheduler>,
        queues: OwnerQueues,
        pool: SyncPool,
        ended: QueueSender<ShardName>,
    ) -> Self {
        Self {
            scheduler,
            queues,
            pool,
            ended,
            unreported: Vec::new(),
            terms: IndexMap::new(),
            config: Arc::default(),
            evidence: None,
            stopping: None,
            last_published: Time::ZERO,
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self, running: &Running) {
        self.queues.config.register_reader();
        self.queues.requests.register_reader();
        self.queues.acquired.register_reader();
        self.pool.register_reader();
        while running.is_active() {
            let now = self.scheduler.process.clock.now();
            self.take_events(now);
            self.take_results(now);
            self.handle_requests(now);
            self.tick_terms(now);
            self.remove_ended_terms();
            self.publish_summaries(now);
            running.wait(MAX_WAIT);
        }
    }

    fn take_events(&mut self, now: Time) {
        while let Some(event) = self.queues.config.pop() {
            let input = match event {
                ConfigEvent::Config(config) => {
                    self.config = config.clone();
                    Input::Config(config)
                }
                ConfigEvent::Evidence(began) => {
                    self.evidence = Some(began);
                    Input::Evidence(began)
                }
                ConfigEvent::StoreReachable(began) => Input::StoreReachable(began),
            };
            for term in self.terms.values_mut() {
                term.handle_input(now, input.clone());
            }
        }
        // Heartbeats are read from the membership; the events only wake this thread.
        while self.queues.peers.pop().is_some() {}
        while let Some(acquired) = self.queues.acquired.pop() {
            self.terms
                .insert(acquired.shard.clone(), Term::new(acquired));
        }
        for term in self.terms.values_mut() {
            term.take_journal_events(&self.scheduler, now, &self.config, self.evidence);
        }
    }

    fn take_results(&mut self, now: Time) {
        for done in self.pool.take_results() {
            let label = if done.result.is_ok() { "ok" } else { "failed" };
            self.scheduler.count_sync(label);
            let input = match done.result {
                Ok(answer) => Input::SyncReply(done.worker, answer),
                Err(error) => {
                    log::debug!(worker:% = done.worker, error:% = error; "a sync call to a worker failed");
                    Input::SyncFailed(done.worker)
                }
            };
            if let Some(term) = self.terms.get_mut(&done.shard) {
                term.handle_input(now, input);
            }
        }
    }

    fn handle_requests(&mut self, now: Time) {
        while let Some(request) = self.queues.requests.pop() {
            match request {
                OwnerRequest::Call(call, reply) => self.handle_call(now, *call, reply),
                OwnerRequest::Input(shard, input) => {
                    if let Some(term) = self.terms.get_mut(&shard) {
                        term.handle_input(now, *input);
                    }
                }
                OwnerRequest::Jobs(reply) => {
                    // The caller may have given up.
                    let _ = reply.try_send(self.live_jobs());
                }
                OwnerRequest::Stop(done) => {
                    for term in self.terms.values_mut() {
                        term.stop(now);
                    }
                    self.stopping = Some(done);
                }
            }
        }
    }

    fn live_jobs(&self) -> Vec<JobName> {
        let owners = self.terms.values().filter_map(|term| term.owner.as_ref());
        let jobs = owners.flat_map(|owner| &owner.stored().jobs);
        let live = jobs.filter(|(_, job)| !job.cancelled);
        live.map(|(name, _)| name.clone()).collect()
    }

    fn handle_call(&mut self, now: Time, call: Call, reply: oneshot::Sender<Reply>) {
        let immediate = match call {
            Call::Submit(submission) => {
                let shard = submission.shard.clone();
                return self.request_owner(now, &shard, reply, |t| Input::Submit(t, submission));
            }
            Call::Cancel(cancel) => {
                let shard = cancel.shard.clone();
                return self.request_owner(now, &shard, reply, |t| Input::Cancel(t, cancel));
            }
            Call::Offer(offer) => {
                let shard = offer.to.clone();
                return self.request_owner(now, &shard, reply, |t| Input::Offer(t, offer));
            }
            Call::Config(revision) => self.scheduler.process.active_config.reply(revision),
            Call::Renewing(shard) => self.renewal_status(now, &shard),
            Call::Records(records) => match self.terms.values_mut().find(|t| t.owner.is_some()) {
                Some(term) => {
                    term.handle_input(now, Input::Records(records));
                    done_reply()
                }
                None => opening_reply(),
            },
            Call::Latency(reports) => {
                for report in reports {
                    let shard = self.config.shard_of(&report.worker).cloned();
                    if let Some(term) = shard.and_then(|shard| self.terms.get_mut(&shard)) {
                        term.handle_input(now, Input::Latency(report));
                    }
                }
                done_reply()
            }
            Call::ConfirmDead(shard, worker) => match self.terms.get_mut(&shard) {
                Some(term) if term.owner.is_some() => {
                    term.handle_input(now, Input::ConfirmDead(worker));
                    done_reply()
                }
                Some(_) => opening_reply(),
                None => not_owner_reply(&Call::Renewing(shard)),
            },
            Call::Query(query) => Reply::View(self.query_view(now, &query)),
            call @ (Call::Claim { .. } | Call::Release { .. }) => not_owner_reply(&call),
        };
        // The caller may have given up.
        let _ = reply.send(immediate);
    }

    fn request_owner(
        &mut self,
        now: Time,
        shard: &ShardName,
        reply: oneshot::Sender<Reply>,
        input: impl FnOnce(crate::shard::RequestId) -> Input,
    ) {
        match self.terms.get_mut(shard) {
            Some(term) => term.request(now, reply, input),
            None => {
                let _ = reply.send(not_owner_reply(&Call::Renewing(shard.clone())));
            }
        }
    }

    fn renewal_status(&self, now: Time, shard: &ShardName) -> Reply {
        let owner = self.terms.get(shard).and_then(|term| term.owner.as_ref());
        let renews = owner.is_some_and(|owner| owner.renews_leases(now));
        Reply::Renewing(renews, self.scheduler.process.incarnation)
    }

    /// Ticks all owners and executes their outputs.
    fn tick_terms(&mut self, now: Time) {
        for term in self.terms.values_mut() {
            term.tick(&self.scheduler, now);
            for output in term.execute_outputs(&self.scheduler) {
                let Output::Sync(worker, request) = output else {
                    continue;
                };
                let Some(declared) = self.config.workers.get(&worker) else {
                    term.handle_input(now, Input::SyncFailed(worker));
                    continue;
                };
                self.pool.enqueue(SyncCall {
                    shard: term.shard.clone(),
                    address: declared.address,
                    worker,
                    request,
                });
            }
        }
    }

    fn remove_ended_terms(&mut self) {
        let ended = self.terms.values().filter(|term| term.ended);
        let ended: Vec<_> = ended.map(|term| term.shard.clone()).collect();
        for shard in ended {
            self.terms.shift_remove(&shard);
            self.unreported.push(shard);
            self.last_published = Time::ZERO;
        }
        self.unreported
            .retain(|shard| self.ended.push(shard.clone()).is_err());
        if self.terms.is_empty()
            && self.unreported.is_empty()
            && let Some(done) = self.stopping.take()
        {
            let _ = done.send(());
        }
    }

    fn publish_summaries(&mut self, now: Time) {
        if now.since(self.last_published) < SUMMARY_INTERVAL {
            return;
        }
        self.last_published = now;
        let owners = self.terms.values().filter_map(|term| term.owner.as_ref());
        let summaries: Vec<_> = owners.filter_map(|owner| owner.summary(now)).collect();
        self.scheduler.publish_shards(&summaries);
    }

    fn query_view(&self, now: Time, query: &Query) -> NodeView {
        let process = &self.scheduler.process;
        let mut view = NodeView::empty(process.node.clone(), process.active_config.evidence_age());
        let owners = self.terms.values().filter_map(|term| term.owner.as_ref());
        match query {
            Query::Records { subject, since } => {
                let records: Vec<_> = owners
                    .flat_map(|owner| owner.records(now, None, None))
                    .collect();
                view.records =
                    crate::process::records_about(records.iter(), subject.as_deref(), *since);
            }
            Query::Tasks(shard) => {
                let wanted = |term: &&Term| shard.as_ref().is_none_or(|s| *s == term.shard);
                let terms = self.terms.values().filter(wanted);
                let owners = terms.filter_map(|term| term.owner.as_ref());
                view.tasks = owners.flat_map(|owner| owner.tasks()).collect();
            }
            Query::Dump => {
                let mut dump = process.dump(&self.scheduler.peers);
                dump["exchanges-waiting"] = json!(self.pool.waiting());
                dump["shards"] = owners.map(|owner| owner.dump(now)).collect();
                view.dump = Some(dump.to_string());
            }
            Query::Top => {
                for owner in owners {
                    view.shards.extend(owner.summary(now));
                    view.teams.extend(owner.team_usage(now));
                    view.quarantined
                        .extend(owner.stored().quarantined.iter().cloned());
                }
            }
        }
        view
    }
}

fn done_reply() -> Reply {
    Reply::Code(Code::Done, String::new())
}
