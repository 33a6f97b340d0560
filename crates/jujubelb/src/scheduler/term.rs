//! One owned shard in this process.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::journal::{Task, Told};
use super::ownership::Taken;
use super::{Scheduler, courier};
use crate::config::Config;
use crate::journal::{RecoveredLog, WriterId};
use crate::model::{Code, ShardName, Span, Time};
use crate::peer::{Call, Reply};
use crate::place::PlacementPolicy;
use crate::shard::{Input, Output, Owner, OwnerIdentity, RequestId, StepDownReason};
use crate::telemetry::{Clock, Inbox, Outlet};

/// Interval of questions to former owners.
const ASK_FORMERS: Span = Span::from_millis(1_000);

/// Interval of telling the owner what peers say of their shards.
const TELL_PEERS: Span = Span::from_millis(500);

/// An owned shard.
pub(super) struct Term {
    pub(super) shard: ShardName,
    tasks: Outlet<Task>,
    told: Inbox<Told>,
    /// Absent until the log is opened.
    pub(super) owner: Option<Owner<PlacementPolicy>>,
    replies: IndexMap<RequestId, oneshot::Sender<Reply>>,
    next: u64,
    asked: Time,
    peers_told: Time,
    snapshot: bool,
    pub(super) over: bool,
}

impl Term {
    /// The term of a shard whose log is being opened.
    pub(super) fn new(taken: Taken) -> Self {
        taken.told.wake_here();
        Self {
            shard: taken.shard,
            tasks: taken.tasks,
            told: taken.told,
            owner: None,
            replies: IndexMap::new(),
            next: 0,
            asked: Time::ZERO,
            peers_told: Time::ZERO,
            snapshot: false,
            over: false,
        }
    }

    /// Passes an input to the owner.
    pub(super) fn give(&mut self, now: Time, input: Input) {
        if let Some(owner) = &mut self.owner {
            owner.handle(now, input);
        }
    }

    /// Begins to hand the shard over. One whose log is not opened yet just ends.
    pub(super) fn stop(&mut self, now: Time) {
        match self.owner {
            Some(_) => self.give(now, Input::Stop),
            None => self.over = true,
        }
    }

    /// Passes a question to the owner. The answer goes out with its ticket.
    pub(super) fn ask(
        &mut self,
        now: Time,
        reply: oneshot::Sender<Reply>,
        input: impl FnOnce(RequestId) -> Input,
    ) {
        if self.owner.is_none() {
            let _ = reply.send(starting());
            return;
        }
        self.next += 1;
        let ticket = RequestId(self.next);
        self.replies.insert(ticket, reply);
        self.give(now, input(ticket));
    }

    /// Takes in what the journal told.
    pub(super) fn take_told(
        &mut self,
        scheduler: &Scheduler,
        now: Time,
        config: &Arc<Config>,
        evidence: Option<Time>,
    ) {
        while let Some(told) = self.told.pop() {
            match told {
                Told::Opened(opened, began) => {
                    self.begin(scheduler, now, *opened, began, config);
                    if let Some(confirmed) = evidence {
                        self.give(now, Input::Evidence(confirmed));
                    }
                }
                Told::Failed => self.over = true,
                Told::Appended(seq, result, due) => {
                    self.snapshot |= due;
                    self.give(now, Input::Appended(seq, result));
                }
                Told::Fenced(epoch) => self.give(now, Input::Fenced(epoch)),
            }
        }
    }

    fn begin(
        &mut self,
        scheduler: &Scheduler,
        now: Time,
        opened: RecoveredLog,
        began: Time,
        config: &Arc<Config>,
    ) {
        let process = &scheduler.process;
        let identity = OwnerIdentity {
            shard: self.shard.clone(),
            writer: WriterId {
                node: process.node.clone(),
                incarnation: process.incarnation,
            },
            clock_anchor: (now, Clock::wall()),
        };
        let policy = PlacementPolicy::new(rand::random());
        let owner = Owner::new(identity, began, now, opened, config.clone(), policy);
        self.owner = Some(owner);
    }

    /// Does what is due: time passes, peers' shards, questions to former owners, snapshots.
    pub(super) fn tick(&mut self, scheduler: &Arc<Scheduler>, now: Time) {
        if now.since(self.peers_told) >= TELL_PEERS {
            self.peers_told = now;
            let summaries = scheduler.known_shards();
            self.give(now, Input::PeerSummaries(summaries));
        }
        self.give(now, Input::Tick);
        let Some(owner) = &self.owner else {
            return;
        };
        if now.since(self.asked) >= ASK_FORMERS {
            self.asked = now;
            for former in owner.former_owners() {
                courier::ask_former(scheduler, self.shard.clone(), former);
            }
        }
        if self.snapshot {
            self.snapshot = false;
            let state = Box::new(owner.stored().clone());
            let task = Task::Snapshot(state, owner.saved_policy());
            if self.tasks.push(task).is_err() {
                log::warn!(shard:% = self.shard; "a snapshot was skipped, because the journal is busy");
            }
        }
    }

    /// Carries out what the owner gave out. Exchanges are left to the caller.
    pub(super) fn carry_out(&mut self, scheduler: &Arc<Scheduler>) -> Vec<Output> {
        let Some(owner) = &mut self.owner else {
            return Vec::new();
        };
        let mut exchanges = Vec::new();
        for output in owner.take_outputs() {
            match output {
                Output::Append(segment) => {
                    let seq = segment.seq;
                    if self.tasks.push(Task::Append(Box::new(segment))).is_err() {
                        // One append is outstanding at most, so the journal has ended.
                        log::error!(shard:% = self.shard, seq = seq; "an append could not be passed on");
                        self.over = true;
                    }
                }
                Output::Sync(..) => exchanges.push(output),
                Output::Submitted(ticket, code) | Output::Cancelled(ticket, code) => {
                    self.reply(ticket, Reply::Code(code, String::new()));
                }
                Output::OfferReply(ticket, code, answer) => {
                    self.reply(ticket, Reply::Offer(code, answer));
                }
                Output::Offer(offer) => courier::offer(scheduler, offer),
                Output::ForwardCancel(cancel) => {
                    courier::pass_cancel(scheduler, self.shard.clone(), cancel);
                }
                Output::StepDown(why) => self.end(why),
            }
        }
        exchanges
    }

    fn reply(&mut self, ticket: RequestId, reply: Reply) {
        if let Some(waiting) = self.replies.swap_remove(&ticket) {
            // The caller may have given up.
            let _ = waiting.send(reply);
        }
    }

    fn end(&mut self, why: StepDownReason) {
        match why {
            StepDownReason::Fenced(epoch) => {
                log::warn!(shard:% = self.shard, epoch = epoch.0; "another process owns the shard now");
            }
            StepDownReason::Stopped => {
                log::info!(shard:% = self.shard; "the shard was handed over")
            }
        }
        self.over = true;
    }
}

/// The answer of a shard whose log is being opened.
pub(super) fn starting() -> Reply {
    Reply::Code(Code::NotOwner, "the shard is being taken over".into())
}

/// The answer for a shard that is not owned here.
pub(super) fn not_owner(call: &Call) -> Reply {
    let text = "this process does not own the shard".to_owned();
    match call {
        Call::Offer(_) => Reply::Offer(Code::NotOwner, None),
        _ => Reply::Code(Code::NotOwner, text),
    }
}
