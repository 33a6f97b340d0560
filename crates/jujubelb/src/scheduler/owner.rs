//! The thread that runs the owners of all shards of this process.

use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::oneshot;

use super::Scheduler;
use super::ownership::Taken;
use super::pool::{Exchange, Pool};
use super::term::{Term, not_owner, starting};
use crate::config::Config;
use crate::model::{Code, JobName, ShardName, Span, Time};
use crate::peer::{Call, NodeView, PeerEvent, Query, Reply};
use crate::process::{ConfigNews, Running};
use crate::shard::{Input, Output};
use crate::telemetry::{Inbox, Outlet};

/// Longest wait for news. Owners are told of the time at least every 100 ms.
const STEP: Span = Span::from_millis(50);

/// Interval of telling the peers about the owned shards.
const TELL_EVERY: Span = Span::from_millis(200);

/// What is asked of the owners.
#[derive(Debug)]
pub(super) enum Asked {
    /// A call to be answered.
    Call(Box<Call>, oneshot::Sender<Reply>),
    /// News for the owner of one shard.
    Input(ShardName, Box<Input>),
    /// Live jobs of all shards that are not cancelled.
    Jobs(std::sync::mpsc::SyncSender<Vec<JobName>>),
    /// Hand all shards over; answered when it is done.
    Stop(oneshot::Sender<()>),
}

/// Queues that the thread reads.
pub(super) struct Inboxes {
    pub(super) config: Inbox<ConfigNews>,
    pub(super) peers: Inbox<PeerEvent>,
    pub(super) asked: Inbox<Asked>,
    pub(super) taken: Inbox<Taken>,
}

/// State of the thread.
pub(super) struct Owners {
    scheduler: Arc<Scheduler>,
    inboxes: Inboxes,
    pool: Pool,
    ended: Outlet<ShardName>,
    /// Ended shards that the ownership thread does not know of yet.
    unreported: Vec<ShardName>,
    terms: IndexMap<ShardName, Term>,
    config: Arc<Config>,
    /// Evidence for `config`, as it came through the queue after it.
    evidence: Option<Time>,
    stopping: Option<oneshot::Sender<()>>,
    told: Time,
}

impl Owners {
    /// The state at the start.
    pub(super) fn new(
        scheduler: Arc<Scheduler>,
        inboxes: Inboxes,
        pool: Pool,
        ended: Outlet<ShardName>,
    ) -> Self {
        Self {
            scheduler,
            inboxes,
            pool,
            ended,
            unreported: Vec::new(),
            terms: IndexMap::new(),
            config: Arc::default(),
            evidence: None,
            stopping: None,
            told: Time::ZERO,
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self, running: &Running) {
        self.inboxes.config.wake_here();
        self.inboxes.asked.wake_here();
        self.inboxes.taken.wake_here();
        self.pool.wake_here();
        while running.goes_on() {
            let now = self.scheduler.process.clock.now();
            self.take_news(now);
            self.take_results(now);
            self.take_asked(now);
            self.advance(now);
            self.end_terms();
            self.tell_peers(now);
            running.wait(STEP);
        }
    }

    fn take_news(&mut self, now: Time) {
        while let Some(news) = self.inboxes.config.pop() {
            let input = match news {
                ConfigNews::Config(config) => {
                    self.config = config.clone();
                    Input::Config(config)
                }
                ConfigNews::Evidence(began) => {
                    self.evidence = Some(began);
                    Input::Evidence(began)
                }
                ConfigNews::Contact(began) => Input::StoreReachable(began),
            };
            for term in self.terms.values_mut() {
                term.give(now, input.clone());
            }
        }
        // The membership holds what the heartbeats say; the queue only wakes.
        while self.inboxes.peers.pop().is_some() {}
        while let Some(taken) = self.inboxes.taken.pop() {
            self.terms.insert(taken.shard.clone(), Term::new(taken));
        }
        for term in self.terms.values_mut() {
            term.take_told(&self.scheduler, now, &self.config, self.evidence);
        }
    }

    fn take_results(&mut self, now: Time) {
        for done in self.pool.results() {
            let label = if done.result.is_ok() { "ok" } else { "failed" };
            self.scheduler.count_exchange(label);
            let input = match done.result {
                Ok(answer) => Input::SyncReply(done.worker, answer),
                Err(error) => {
                    log::debug!(worker:% = done.worker, error:% = error; "an exchange with a worker failed");
                    Input::SyncFailed(done.worker)
                }
            };
            if let Some(term) = self.terms.get_mut(&done.shard) {
                term.give(now, input);
            }
        }
    }

    fn take_asked(&mut self, now: Time) {
        while let Some(asked) = self.inboxes.asked.pop() {
            match asked {
                Asked::Call(call, reply) => self.answer(now, *call, reply),
                Asked::Input(shard, input) => {
                    if let Some(term) = self.terms.get_mut(&shard) {
                        term.give(now, *input);
                    }
                }
                Asked::Jobs(reply) => {
                    // The caller may have given up.
                    let _ = reply.try_send(self.live_jobs());
                }
                Asked::Stop(done) => {
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

    fn answer(&mut self, now: Time, call: Call, reply: oneshot::Sender<Reply>) {
        let direct = match call {
            Call::Submit(submission) => {
                let shard = submission.shard.clone();
                return self.ask(now, &shard, reply, |t| Input::Submit(t, submission));
            }
            Call::Cancel(cancel) => {
                let shard = cancel.shard.clone();
                return self.ask(now, &shard, reply, |t| Input::Cancel(t, cancel));
            }
            Call::Offer(offer) => {
                let shard = offer.to.clone();
                return self.ask(now, &shard, reply, |t| Input::Offer(t, offer));
            }
            Call::Config(revision) => self.scheduler.process.board.reply(revision),
            Call::Renewing(shard) => self.renewing(now, &shard),
            Call::Records(records) => match self.terms.values_mut().find(|t| t.owner.is_some()) {
                Some(term) => {
                    term.give(now, Input::Records(records));
                    done()
                }
                None => starting(),
            },
            Call::Latency(reports) => {
                for report in reports {
                    let shard = self.config.shard_of(&report.worker).cloned();
                    if let Some(term) = shard.and_then(|shard| self.terms.get_mut(&shard)) {
                        term.give(now, Input::Latency(report));
                    }
                }
                done()
            }
            Call::ConfirmDead(shard, worker) => match self.terms.get_mut(&shard) {
                Some(term) if term.owner.is_some() => {
                    term.give(now, Input::ConfirmDead(worker));
                    done()
                }
                Some(_) => starting(),
                None => not_owner(&Call::Renewing(shard)),
            },
            Call::Query(query) => Reply::View(self.view(now, &query)),
            call @ (Call::Claim { .. } | Call::Release { .. }) => not_owner(&call),
        };
        // The caller may have given up.
        let _ = reply.send(direct);
    }

    fn ask(
        &mut self,
        now: Time,
        shard: &ShardName,
        reply: oneshot::Sender<Reply>,
        input: impl FnOnce(crate::shard::RequestId) -> Input,
    ) {
        match self.terms.get_mut(shard) {
            Some(term) => term.ask(now, reply, input),
            None => {
                let _ = reply.send(not_owner(&Call::Renewing(shard.clone())));
            }
        }
    }

    fn renewing(&self, now: Time, shard: &ShardName) -> Reply {
        let owner = self.terms.get(shard).and_then(|term| term.owner.as_ref());
        let renews = owner.is_some_and(|owner| owner.renews_leases(now));
        Reply::Renewing(renews, self.scheduler.process.incarnation)
    }

    /// Lets time pass for all owners and carries out what they give out.
    fn advance(&mut self, now: Time) {
        for term in self.terms.values_mut() {
            term.tick(&self.scheduler, now);
            for output in term.carry_out(&self.scheduler) {
                let Output::Sync(worker, request) = output else {
                    continue;
                };
                let Some(declared) = self.config.workers.get(&worker) else {
                    term.give(now, Input::SyncFailed(worker));
                    continue;
                };
                self.pool.add(Exchange {
                    shard: term.shard.clone(),
                    address: declared.address,
                    worker,
                    request,
                });
            }
        }
    }

    fn end_terms(&mut self) {
        let over = self.terms.values().filter(|term| term.over);
        let over: Vec<_> = over.map(|term| term.shard.clone()).collect();
        for shard in over {
            self.terms.shift_remove(&shard);
            self.unreported.push(shard);
            self.told = Time::ZERO;
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

    fn tell_peers(&mut self, now: Time) {
        if now.since(self.told) < TELL_EVERY {
            return;
        }
        self.told = now;
        let owners = self.terms.values().filter_map(|term| term.owner.as_ref());
        let summaries: Vec<_> = owners.filter_map(|owner| owner.summary(now)).collect();
        self.scheduler.show(&summaries);
    }

    fn view(&self, now: Time, query: &Query) -> NodeView {
        let process = &self.scheduler.process;
        let mut view = NodeView::empty(process.node.clone(), process.board.age());
        let owners = self.terms.values().filter_map(|term| term.owner.as_ref());
        match query {
            Query::Records { subject, since } => {
                let records: Vec<_> = owners
                    .flat_map(|owner| owner.records(now, None, None))
                    .collect();
                view.records = crate::process::about(records.iter(), subject.as_deref(), *since);
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

fn done() -> Reply {
    Reply::Code(Code::Done, String::new())
}
