//! The owner of a shard: dispatches inputs to its parts and collects their outputs.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::commit_queue::CommitQueue;
use super::io::{Input, Output, ShardSummary, StepDownReason};
use super::pending_state::PendingState;
use super::policy::{Policy, PolicyEvent};
use super::recorder::{RecordDraft, Recorder};
use super::relocation::FormerOwners;
use super::state::State;
use super::tracked_worker::TrackedWorker;
use crate::config::Config;
use crate::journal::{RecoveredLog, WriterId};
use crate::model::{
    Action, Attempt, Cause, Code, DomainName, Epoch, Fact, JobName, RecordId, ShardName, Span,
    Subject, TaskId, Time, Unit, WallTime, WorkerName,
};

/// Maximum age of the evidence that the configuration is current, for a task to be started.
pub const MAX_EVIDENCE_AGE: Span = Span::from_secs(3);

/// Time after a confirmed append during which an owner renews worker leases.
/// Longer than a store outage of an hour, which running tasks have to survive.
pub const LEASE_RENEWAL_WINDOW: Span = Span::from_secs(90 * 60);

/// Time between calls of the policy when nothing has changed.
const DECIDE_INTERVAL: Span = Span::from_millis(100);

/// Minimum time between calls of the policy, which bounds their cost during a
/// burst of inputs. The placement policy decides no more often, and appends are
/// 150 ms apart, so a shorter interval would start no task earlier.
const MIN_DECIDE_INTERVAL: Span = Span::from_millis(50);

/// Minimum time between checks of all workers for expired leases and due
/// evictions. Inputs arrive every few milliseconds; these checks need no such precision.
const MIN_SWEEP_INTERVAL: Span = Span::from_millis(50);

/// Identity of an owner.
#[derive(Debug, Clone)]
pub struct OwnerIdentity {
    /// Owned shard.
    pub shard: ShardName,
    /// The owner's process, as in the segment that opened its epoch.
    pub writer: WriterId,
    /// The same instant on the monotonic clock and on the wall clock.
    pub clock_anchor: (Time, WallTime),
}

/// A decision to checkpoint and stop an attempt.
#[derive(Debug, Clone)]
pub(super) struct Eviction {
    pub(super) since: Time,
    pub(super) record: RecordId,
    pub(super) cause: Cause,
}

/// The owner of one shard for one term.
///
/// The process carries out the outputs in order. It passes in exactly one
/// `SyncReply` or `SyncFailed` for each `Sync`, exactly one `Appended` or `Fenced`
/// for each `Append`, and a `Tick` at least every 100 ms. It passes in a `Config`
/// before the `Evidence` that confirms it.
#[derive(Debug)]
pub struct Owner<P> {
    pub(super) shard: ShardName,
    pub(super) writer: WriterId,
    pub(super) epoch: Epoch,
    pub(super) config: Arc<Config>,
    pub(super) policy: P,
    pub(super) state: PendingState,
    pub(super) commits: CommitQueue,
    pub(super) recorder: Recorder,
    pub(super) workers: IndexMap<WorkerName, TrackedWorker>,
    pub(super) former_owners: FormerOwners,
    /// Start of the read that last confirmed the active configuration.
    pub(super) evidence: Option<Time>,
    /// Attempts that are being checkpointed and stopped.
    pub(super) evictions: IndexMap<(TaskId, Attempt), Eviction>,
    /// Ended attempts of which the policy was notified and whose ends are not stored yet.
    pub(super) notified_ends: IndexMap<TaskId, Attempt>,
    /// Earliest time of the next attempt, for queued tasks that failed.
    pub(super) backoff_until: IndexMap<TaskId, Time>,
    /// Time at which this owner first saw each queued task in the queue.
    pub(super) queued_since: IndexMap<TaskId, Time>,
    /// Stored offers without a reply, with the time of the next transmission.
    pub(super) open_offers: IndexMap<(TaskId, Attempt), Time>,
    /// Cancellations to forward, with the time of the next transmission.
    pub(super) open_cancellations: IndexMap<(JobName, ShardName), Time>,
    /// Delays for which a decision record exists.
    pub(super) recorded_delays: IndexSet<(TaskId, Cause)>,
    pub(super) peers: Vec<ShardSummary>,
    /// Number of policy decisions that broke a hard rule.
    pub(super) refused_decisions: u64,
    /// Whether the shard's domain was in service in the last recorded configuration.
    in_service: bool,
    /// Whether tasks could be started at the last check, so that each change is recorded once.
    was_startable: bool,
    stopping: bool,
    stepped_down: Option<StepDownReason>,
    last_decision: Time,
    /// Time of the last check of all workers.
    last_sweep: Time,
    /// Whether something changed since the last call of the policy.
    pub(super) dirty: bool,
    pub(super) outputs: Vec<Output>,
}

impl<P: Policy> Owner<P> {
    /// Creates the owner whose opening segment was stored. `began` is a time
    /// before the log was opened.
    pub fn new(
        identity: OwnerIdentity,
        began: Time,
        now: Time,
        opened: RecoveredLog,
        config: Arc<Config>,
        mut policy: P,
    ) -> Self {
        policy.restore(&opened.policy);
        let state = opened.state;
        let stood_down = !state.owners.keys().any(|epoch| *epoch < state.epoch);
        let recorder = Recorder::new(
            &identity.shard,
            &identity.writer,
            identity.clock_anchor,
            &state,
        );
        let mut owner = Self {
            epoch: state.epoch,
            former_owners: FormerOwners::new(now, &state),
            state: PendingState::new(state),
            commits: CommitQueue::new(now, began),
            recorder,
            shard: identity.shard,
            writer: identity.writer,
            config: Arc::new(Config::default()),
            policy,
            workers: IndexMap::new(),
            evidence: None,
            evictions: IndexMap::new(),
            notified_ends: IndexMap::new(),
            backoff_until: IndexMap::new(),
            queued_since: IndexMap::new(),
            open_offers: IndexMap::new(),
            open_cancellations: IndexMap::new(),
            recorded_delays: IndexSet::new(),
            peers: Vec::new(),
            refused_decisions: 0,
            in_service: true,
            was_startable: true,
            stopping: false,
            stepped_down: None,
            last_decision: now,
            last_sweep: now,
            dirty: true,
            outputs: Vec::new(),
        };
        let cause = match stood_down {
            true if owner.state.stored.next_segment <= 1 => Cause::ConfigChange,
            true => Cause::PlannedStop,
            false => Cause::OwnerLost,
        };
        let subject = Subject::Shard(owner.shard.clone());
        owner.record(now, RecordDraft::new(subject, Action::TakeOver, cause));
        owner.resume_cancellations(now);
        owner.resume_offers(now);
        owner.apply_config(now, config);
        owner
    }

    /// Handles one input. The resulting outputs are collected for `take_outputs`.
    pub fn handle(&mut self, now: Time, input: Input) {
        if self.stepped_down.is_some() {
            return self.handle_after_end(input);
        }
        match input {
            Input::Config(config) => self.apply_config(now, config),
            Input::Evidence(began) => self.evidence = self.evidence.max(Some(began)),
            Input::StoreReachable(_) => self.commits.note_store_reachable(now),
            Input::Submit(request, submission) => self.submit(now, request, submission),
            Input::Cancel(request, cancel) => self.cancel(now, request, &cancel),
            Input::SyncReply(worker, reply) => self.handle_sync_reply(now, &worker, reply),
            Input::SyncFailed(worker) => self.sync_failed(&worker),
            Input::Appended(seq, result) => self.handle_append_result(now, seq, result),
            Input::Fenced(epoch) => {
                self.step_down(StepDownReason::Fenced(epoch), Code::StoreUnknown)
            }
            Input::Offer(request, offer) => self.handle_offer(now, request, offer),
            Input::OfferReply(task, attempt, reply) => {
                self.handle_offer_reply(now, &task, attempt, reply);
            }
            Input::CancelReply(cancel, code) => self.handle_cancel_reply(&cancel, code),
            Input::PeerSummaries(peers) => self.peers = peers,
            Input::FormerOwner(writer, _) => self.former_owners.mark_stopped(now, &writer),
            Input::ConfirmDead(worker) => self.confirm_dead(now, worker),
            Input::Latency(report) => self
                .policy
                .on_event(now, PolicyEvent::LatencyReported(&report)),
            Input::Records(records) => self.commits.push_records(records),
            Input::Stop => self.stop(now),
            Input::Tick => {}
        }
        self.advance(now);
    }

    /// Removes and returns the outputs that the process has to carry out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Returns the stored state, for a snapshot.
    pub fn stored(&self) -> &State {
        &self.state.stored
    }

    /// Returns the policy's serialised estimates, for a snapshot.
    pub fn saved_policy(&self) -> Vec<u8> {
        self.policy.save()
    }

    /// Returns the owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this owner still renews leases.
    pub fn renews_leases(&self, now: Time) -> bool {
        self.stepped_down.is_none() && !self.stopping && self.may_renew(now)
    }

    pub(super) fn may_renew(&self, now: Time) -> bool {
        now.since(self.commits.last_confirmed) < LEASE_RENEWAL_WINDOW
    }

    /// Whether tasks may be started at this time.
    pub(super) fn is_startable(&self, now: Time) -> bool {
        let fresh = |began: Time| now.since(began) < MAX_EVIDENCE_AGE;
        self.evidence.is_some_and(fresh) && self.home_in_service() && !self.stopping
    }

    fn home_in_service(&self) -> bool {
        self.home_domain()
            .is_some_and(|domain| self.config.in_service(domain))
    }

    /// Failure domain of the shard, if the shard is declared.
    pub(super) fn home_domain(&self) -> Option<&DomainName> {
        Some(&self.config.shards.get(&self.shard)?.domain)
    }

    pub(super) fn emit(&mut self, output: Output) {
        self.outputs.push(output);
    }

    fn apply_config(&mut self, now: Time, config: Arc<Config>) {
        // The revision of the head never decreases, so a lower one is a late message.
        if config.revision < self.config.revision {
            return;
        }
        let changed = config.revision > self.config.revision;
        self.config = config;
        self.recorder.revision = self.config.revision;
        self.policy
            .on_event(now, PolicyEvent::ConfigApplied(&self.config));
        self.update_workers();
        if changed {
            self.record_config(now);
        }
        self.dirty = true;
    }

    /// Records the new revision and whether it takes the domain in or out of service.
    fn record_config(&mut self, now: Time) {
        let draft = RecordDraft::new(Subject::Config, Action::Apply, Cause::ConfigChange);
        let applied = self.record(now, draft);
        let in_service = self.home_in_service();
        let Some(domain) = self.home_domain().cloned() else {
            return;
        };
        if in_service != self.in_service {
            self.in_service = in_service;
            let (action, cause) = match in_service {
                true => (Action::Restore, Cause::DomainIn),
                false => (Action::Remove, Cause::DomainOut),
            };
            let draft = RecordDraft::new(Subject::Domain(domain), action, cause);
            self.record(now, draft.with_parent(Some(applied)));
        }
    }

    fn stop(&mut self, now: Time) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        let subject = Subject::Shard(self.shard.clone());
        self.record(
            now,
            RecordDraft::new(subject, Action::StepDown, Cause::PlannedStop),
        );
    }

    /// Ends the term. Requests that wait for the append in flight are answered with `code`.
    pub(super) fn step_down(&mut self, why: StepDownReason, code: Code) {
        if self.stepped_down.is_some() {
            return;
        }
        let replies = self.commits.abandon(code, Code::NotOwner);
        self.outputs.extend(replies);
        self.outputs.push(Output::StepDown(why));
        self.stepped_down = Some(why);
    }

    fn handle_after_end(&mut self, input: Input) {
        match input {
            Input::Submit(request, _) => self.emit(Output::Submitted(request, Code::NotOwner)),
            Input::Cancel(request, _) => self.emit(Output::Cancelled(request, Code::NotOwner)),
            Input::Offer(request, _) => {
                self.emit(Output::OfferReply(request, Code::NotOwner, None))
            }
            _ => {}
        }
    }

    /// Does all periodic and pending work that is due.
    fn advance(&mut self, now: Time) {
        if self.stepped_down.is_some() {
            return;
        }
        let replies = self.commits.expire_replies(now);
        self.outputs.extend(replies);
        if !self.stopping {
            self.sweep_if_due(now);
            self.decide_if_due(now);
            self.send_offers(now);
            self.send_cancellations(now);
            self.sync_workers(now);
        } else if self.commits.is_waiting_to_retry(now) {
            // The planned stop can't be stored yet, so this owner still has to renew the leases.
            self.sync_workers(now);
        }
        self.append(now);
    }
    /// Whether a planned stop has begun, after which the owner accepts no new work.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Checks all workers for expired leases and for tasks to evict.
    fn sweep_if_due(&mut self, now: Time) {
        if now.since(self.last_sweep) < MIN_SWEEP_INTERVAL {
            return;
        }
        self.last_sweep = now;
        self.relocate_lost_tasks(now);
        self.evict_displaced_tasks(now);
    }

    /// Calls the policy if something has changed or `DECIDE_INTERVAL` has passed.
    fn decide_if_due(&mut self, now: Time) {
        let gap = if self.dirty {
            MIN_DECIDE_INTERVAL
        } else {
            DECIDE_INTERVAL
        };
        if now.since(self.last_decision) < gap {
            return;
        }
        self.dirty = false;
        self.last_decision = now;
        self.record_startable(now);
        self.decide(now);
    }

    /// Records that starts became impossible because the evidence is too old.
    fn record_startable(&mut self, now: Time) {
        let startable = self.is_startable(now);
        if self.was_startable && !startable && self.home_in_service() {
            let age = self.evidence.map_or(i64::MAX, |began| {
                i64::try_from(now.since(began).as_micros()).unwrap_or(i64::MAX)
            });
            let subject = Subject::Shard(self.shard.clone());
            let draft = RecordDraft::new(subject, Action::Delay, Cause::StaleEvidence);
            self.record(
                now,
                draft.with_facts(vec![Fact::new("evidence-age", age, Unit::Micros)]),
            );
        }
        self.was_startable = startable;
    }
}
