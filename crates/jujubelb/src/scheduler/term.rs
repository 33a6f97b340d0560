//! The term of one shard that this process owns.

use std::sync::Arc;

use indexmap::IndexMap;
use tokio::sync::oneshot;

use super::journal_thread::{JournalEvent, JournalTask};
use super::ownership::AcquiredShard;
use super::{Scheduler, owner_calls};
use crate::config::Config;
use crate::journal::{RecoveredLog, WriterId};
use crate::model::{Code, ShardName, Span, Time};
use crate::peer::{Call, Reply};
use crate::place::PlacementPolicy;
use crate::shard::{Input, Output, Owner, OwnerIdentity, RequestId, StepDownReason};
use crate::telemetry::{Clock, QueueReceiver, QueueSender};

/// Interval of asking former owners whether they still renew leases.
const FORMER_OWNER_INTERVAL: Span = Span::from_millis(1_000);

/// Interval of passing the shard summaries of the peers to the owner.
const PEER_SUMMARY_INTERVAL: Span = Span::from_millis(500);

/// The term of one owned shard: its owner, its journal and the replies due.
pub(super) struct Term {
    pub(super) shard: ShardName,
    tasks: QueueSender<JournalTask>,
    events: QueueReceiver<JournalEvent>,
    /// Absent until the log is opened.
    pub(super) owner: Option<Owner<PlacementPolicy>>,
    /// Replies due, by request.
    replies: IndexMap<RequestId, oneshot::Sender<Reply>>,
    /// Number of the last request.
    last_request: u64,
    last_query: Time,
    last_summaries: Time,
    snapshot_due: bool,
    /// Whether the term has ended; the owner thread then removes it.
    pub(super) ended: bool,
}

impl Term {
    /// The term of a shard whose log is being opened.
    pub(super) fn new(acquired: AcquiredShard) -> Self {
        acquired.events.register_reader();
        Self {
            shard: acquired.shard,
            tasks: acquired.tasks,
            events: acquired.events,
            owner: None,
            replies: IndexMap::new(),
            last_request: 0,
            last_query: Time::ZERO,
            last_summaries: Time::ZERO,
            snapshot_due: false,
            ended: false,
        }
    }

    /// Passes an input to the owner.
    pub(super) fn handle_input(&mut self, now: Time, input: Input) {
        if let Some(owner) = &mut self.owner {
            owner.handle(now, input);
        }
    }

    /// Begins to hand the shard over. A term whose log is not open yet ends at once.
    pub(super) fn stop(&mut self, now: Time) {
        match self.owner {
            Some(_) => self.handle_input(now, Input::Stop),
            None => self.ended = true,
        }
    }

    /// Passes a request to the owner, whose output names the same request identifier.
    pub(super) fn request(
        &mut self,
        now: Time,
        reply: oneshot::Sender<Reply>,
        input: impl FnOnce(RequestId) -> Input,
    ) {
        if self.owner.is_none() {
            let _ = reply.send(opening_reply());
            return;
        }
        self.last_request += 1;
        let request_id = RequestId(self.last_request);
        self.replies.insert(request_id, reply);
        self.handle_input(now, input(request_id));
    }

    /// Handles the events of the journal thread.
    pub(super) fn take_journal_events(
        &mut self,
        scheduler: &Scheduler,
        now: Time,
        config: &Arc<Config>,
        evidence: Option<Time>,
    ) {
        while let Some(event) = self.events.pop() {
            match event {
                JournalEvent::Opened(opened, began) => {
                    self.create_owner(scheduler, now, *opened, began, config);
                    if let Some(confirmed) = evidence {
                        self.handle_input(now, Input::Evidence(confirmed));
                    }
                }
                JournalEvent::OpenFailed => self.ended = true,
                JournalEvent::Appended(seq, result, due) => {
                    self.snapshot_due |= due;
                    self.handle_input(now, Input::Appended(seq, result));
                }
                JournalEvent::Fenced(epoch) => self.handle_input(now, Input::Fenced(epoch)),
            }
        }
    }

    fn create_owner(
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

    /// Passes the time and the peers' summaries to the owner, asks former owners and
    /// requests the snapshot that is due.
    pub(super) fn tick(&mut self, scheduler: &Arc<Scheduler>, now: Time) {
        if now.since(self.last_summaries) >= PEER_SUMMARY_INTERVAL {
            self.last_summaries = now;
            let summaries = scheduler.known_shards();
            self.handle_input(now, Input::PeerSummaries(summaries));
        }
        self.handle_input(now, Input::Tick);
        let Some(owner) = &self.owner else {
            return;
        };
        if now.since(self.last_query) >= FORMER_OWNER_INTERVAL {
            self.last_query = now;
            for former in owner.former_owners() {
                owner_calls::query_former_owner(scheduler, self.shard.clone(), former);
            }
        }
        if self.snapshot_due {
            self.snapshot_due = false;
            let state = Box::new(owner.stored().clone());
            let task = JournalTask::Snapshot(state, owner.saved_policy());
            if self.tasks.push(task).is_err() {
                log::warn!(shard:% = self.shard; "a snapshot was skipped, because the journal queue is full");
            }
        }
    }

    /// Executes the outputs of the owner and returns its sync calls to the caller.
    pub(super) fn execute_outputs(&mut self, scheduler: &Arc<Scheduler>) -> Vec<Output> {
        let Some(owner) = &mut self.owner else {
            return Vec::new();
        };
        let mut sync_outputs = Vec::new();
        for output in owner.take_outputs() {
            match output {
                Output::Append(segment) => {
                    let seq = segment.seq;
                    if self
                        .tasks
                        .push(JournalTask::Append(Box::new(segment)))
                        .is_err()
                    {
                        // At most one append is outstanding, so a full queue means that the journal
                        // thread has ended.
                        log::error!(shard:% = self.shard, seq = seq; "an append could not be passed to the journal, which has ended");
                        self.ended = true;
                    }
                }
                Output::Sync(..) => sync_outputs.push(output),
                Output::Submitted(request_id, code) | Output::Cancelled(request_id, code) => {
                    self.reply(request_id, Reply::Code(code, String::new()));
                }
                Output::OfferReply(request_id, code, answer) => {
                    self.reply(request_id, Reply::Offer(code, answer));
                }
                Output::Offer(offer) => owner_calls::send_offer(scheduler, offer),
                Output::ForwardCancel(cancel) => {
                    owner_calls::forward_cancel(scheduler, self.shard.clone(), cancel);
                }
                Output::StepDown(reason) => self.step_down(reason),
            }
        }
        sync_outputs
    }

    fn reply(&mut self, request_id: RequestId, reply: Reply) {
        if let Some(waiting) = self.replies.swap_remove(&request_id) {
            // The caller may have given up.
            let _ = waiting.send(reply);
        }
    }

    fn step_down(&mut self, reason: StepDownReason) {
        match reason {
            StepDownReason::Fenced(epoch) => {
                log::warn!(shard:% = self.shard, epoch = epoch.0; "another process owns the shard now");
            }
            StepDownReason::Stopped => {
                log::info!(shard:% = self.shard; "the shard was handed over")
            }
        }
        self.ended = true;
    }
}

/// The reply for a shard whose log is being opened.
pub(super) fn opening_reply() -> Reply {
    Reply::Code(Code::NotOwner, "the shard is being taken over".into())
}

/// The reply for a shard that this process does not own.
pub(super) fn not_owner_reply(call: &Call) -> Reply {
    let text = "this process does not own the shard".to_owned();
    match call {
        Call::Offer(_) => Reply::Offer(Code::NotOwner, None),
        _ => Reply::Code(Code::NotOwner, text),
    }
}
