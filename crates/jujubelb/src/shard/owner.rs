//! The owner: takes inputs in, keeps the parts together and gives outputs out.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::book::Book;
use super::io::{Input, Output, ShardSummary, StepDownReason};
use super::link::Link;
use super::outbox::Outbox;
use super::policy::{Policy, PolicyEvent};
use super::recorder::{Note, Recorder};
use super::recovery::Recovery;
use super::state::State;
use crate::config::Config;
use crate::journal::{RecoveredLog, WriterId};
use crate::model::{
    Action, Attempt, Cause, Code, DomainName, Epoch, Fact, JobName, RecordId, ShardName, Span,
    Subject, TaskId, Time, Unit, WallTime, WorkerName,
};

/// Age up to which start evidence allows a start.
pub const MAX_EVIDENCE_AGE: Span = Span::from_secs(3);

/// Time since the last confirmed append during which leases are renewed. Longer
/// than the store outage of an hour that has to be tolerated. To be tuned.
pub const LEASE_RENEWAL_WINDOW: Span = Span::from_secs(90 * 60);

/// Time between decisions when nothing has changed. To be tuned.
const DECIDE_EVERY: Span = Span::from_millis(100);

/// Shortest time between decisions, which bounds their cost during a burst of inputs.
/// The placement policy decides no more often, and appends are 150 ms apart, so
/// a shorter gap starts nothing earlier. To be tuned.
const DECIDE_GAP: Span = Span::from_millis(50);

/// Shortest time between two looks over all workers. An input arrives every few
/// milliseconds, and neither lost workers nor evictions need that precision.
const SWEEP_GAP: Span = Span::from_millis(50);

/// Who and where an owner is.
#[derive(Debug, Clone)]
pub struct OwnerIdentity {
    /// The shard.
    pub shard: ShardName,
    /// The process, as in the opening segment.
    pub writer: WriterId,
    /// A pair of instants that relates the monotonic clock to the calendar.
    pub clock_anchor: (Time, WallTime),
}

/// The decision to checkpoint and stop an attempt.
#[derive(Debug, Clone)]
pub(super) struct Eviction {
    pub(super) since: Time,
    pub(super) record: RecordId,
    pub(super) cause: Cause,
}

/// The owner of one shard for one term.
///
/// The process carries out the outputs in order. It gives exactly one `SyncReply`
/// or `SyncFailed` for each `Sync`, exactly one `Appended` or `Fenced` for each
/// `Append`, and a `Tick` at least every 100 ms. It passes a `ConfigApplied` in before
/// the `Evidence` that confirms it.
#[derive(Debug)]
pub struct Owner<P> {
    pub(super) shard: ShardName,
    pub(super) writer: WriterId,
    pub(super) epoch: Epoch,
    pub(super) config: Arc<Config>,
    pub(super) policy: P,
    pub(super) book: Book,
    pub(super) outbox: Outbox,
    pub(super) recorder: Recorder,
    pub(super) links: IndexMap<WorkerName, Link>,
    pub(super) recovery: Recovery,
    /// Start of the read that last confirmed the configuration in force.
    pub(super) evidence: Option<Time>,
    /// Attempts to be checkpointed and stopped.
    pub(super) evicting: IndexMap<(TaskId, Attempt), Eviction>,
    /// Ends that the policy was told about and that are not stored yet.
    pub(super) told: IndexMap<TaskId, Attempt>,
    /// Queued tasks that failed and may not be tried before this time.
    pub(super) backoff: IndexMap<TaskId, Time>,
    /// When this owner first saw each queued task queued.
    pub(super) queued: IndexMap<TaskId, Time>,
    /// Open offers and when to send each again.
    pub(super) offers: IndexMap<(TaskId, Attempt), Time>,
    /// Cancellations to pass on and when to send each again.
    pub(super) passes: IndexMap<(JobName, ShardName), Time>,
    /// Delays that have a record.
    pub(super) delays: IndexSet<(TaskId, Cause)>,
    pub(super) peers: Vec<ShardSummary>,
    /// Decisions that broke a hard rule.
    pub(super) refused: u64,
    /// Whether the configuration has the domain of this shard in service, as last seen.
    in_service: bool,
    /// Whether the owner was startable when last looked at, for one record a change.
    was_startable: bool,
    stopping: bool,
    over: Option<StepDownReason>,
    decided: Time,
    /// When all workers were last looked at.
    swept: Time,
    pub(super) dirty: bool,
    pub(super) outs: Vec<Output>,
}

impl<P: Policy> Owner<P> {
    /// The owner whose opening segment was stored. `began` is the time before
    /// the log was opened.
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
            recovery: Recovery::new(now, &state),
            book: Book::new(state),
            outbox: Outbox::new(now, began),
            recorder,
            shard: identity.shard,
            writer: identity.writer,
            config: Arc::new(Config::default()),
            policy,
            links: IndexMap::new(),
            evidence: None,
            evicting: IndexMap::new(),
            told: IndexMap::new(),
            backoff: IndexMap::new(),
            queued: IndexMap::new(),
            offers: IndexMap::new(),
            passes: IndexMap::new(),
            delays: IndexSet::new(),
            peers: Vec::new(),
            refused: 0,
            in_service: true,
            was_startable: true,
            stopping: false,
            over: None,
            decided: now,
            swept: now,
            dirty: true,
            outs: Vec::new(),
        };
        let cause = match stood_down {
            true if owner.book.stored.next_segment <= 1 => Cause::ConfigChange,
            true => Cause::PlannedStop,
            false => Cause::OwnerLost,
        };
        let subject = Subject::Shard(owner.shard.clone());
        owner.record(now, Note::new(subject, Action::TakeOver, cause));
        owner.resume_passes(now);
        owner.resume_offers(now);
        owner.take_config(now, config);
        owner
    }

    /// Takes one input in.
    pub fn handle(&mut self, now: Time, input: Input) {
        if self.over.is_some() {
            return self.handle_after_end(input);
        }
        match input {
            Input::Config(config) => self.take_config(now, config),
            Input::Evidence(began) => self.evidence = self.evidence.max(Some(began)),
            Input::StoreReachable(_) => self.outbox.store_answers(now),
            Input::Submit(ticket, submission) => self.submit(now, ticket, submission),
            Input::Cancel(ticket, cancel) => self.cancel(now, ticket, &cancel),
            Input::SyncReply(worker, answer) => self.take_answer(now, &worker, answer),
            Input::SyncFailed(worker) => self.sync_failed(&worker),
            Input::Appended(seq, result) => self.appended(now, seq, result),
            Input::Fenced(epoch) => {
                self.step_down(StepDownReason::Fenced(epoch), Code::StoreUnknown)
            }
            Input::Offer(ticket, offer) => self.take_offer(now, ticket, offer),
            Input::OfferReply(task, attempt, answer) => {
                self.take_offer_answer(now, &task, attempt, answer);
            }
            Input::CancelReply(cancel, code) => self.take_cancel_answer(&cancel, code),
            Input::PeerSummaries(peers) => self.peers = peers,
            Input::FormerOwner(writer, _) => self.recovery.clear(now, &writer),
            Input::ConfirmDead(worker) => self.confirm_dead(now, worker),
            Input::Latency(report) => self
                .policy
                .on_event(now, PolicyEvent::LatencyReported(&report)),
            Input::Records(records) => self.outbox.push_records(records),
            Input::Stop => self.stop(now),
            Input::Tick => {}
        }
        self.advance(now);
    }

    /// Takes the outputs that are to be carried out.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outs)
    }

    /// The state as stored, for a snapshot.
    pub fn stored(&self) -> &State {
        &self.book.stored
    }

    /// The policy's estimates, for a snapshot.
    pub fn saved_policy(&self) -> Vec<u8> {
        self.policy.save()
    }

    /// The owner's epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Whether this owner may still renew leases.
    pub fn renews_leases(&self, now: Time) -> bool {
        self.over.is_none() && !self.stopping && self.has_authority(now)
    }

    pub(super) fn has_authority(&self, now: Time) -> bool {
        now.since(self.outbox.confirmed) < LEASE_RENEWAL_WINDOW
    }

    /// Whether a task may be started at present.
    pub(super) fn is_startable(&self, now: Time) -> bool {
        let fresh = |began: Time| now.since(began) < MAX_EVIDENCE_AGE;
        self.evidence.is_some_and(fresh) && self.home_in_service() && !self.stopping
    }

    fn home_in_service(&self) -> bool {
        self.home()
            .is_some_and(|domain| self.config.in_service(domain))
    }

    /// Failure domain of the shard, if it is declared.
    pub(super) fn home(&self) -> Option<&DomainName> {
        Some(&self.config.shards.get(&self.shard)?.domain)
    }

    pub(super) fn out(&mut self, output: Output) {
        self.outs.push(output);
    }

    fn take_config(&mut self, now: Time, config: Arc<Config>) {
        // The head never goes back, so a lower revision is a late message.
        if config.revision < self.config.revision {
            return;
        }
        let changed = config.revision > self.config.revision;
        self.config = config;
        self.recorder.revision = self.config.revision;
        self.policy
            .on_event(now, PolicyEvent::ConfigApplied(&self.config));
        self.declare_links();
        if changed {
            self.record_config(now);
        }
        self.dirty = true;
    }

    /// Records the new revision and, as its effect, a change of the domain's service.
    fn record_config(&mut self, now: Time) {
        let note = Note::new(Subject::Config, Action::Apply, Cause::ConfigChange);
        let applied = self.record(now, note);
        let in_service = self.home_in_service();
        let Some(domain) = self.home().cloned() else {
            return;
        };
        if in_service != self.in_service {
            self.in_service = in_service;
            let (action, cause) = match in_service {
                true => (Action::Restore, Cause::DomainIn),
                false => (Action::Remove, Cause::DomainOut),
            };
            let note = Note::new(Subject::Domain(domain), action, cause);
            self.record(now, note.parent(Some(applied)));
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
            Note::new(subject, Action::StepDown, Cause::PlannedStop),
        );
    }

    /// Ends the term. `code` goes to those who wait for the append in flight.
    pub(super) fn step_down(&mut self, why: StepDownReason, code: Code) {
        if self.over.is_some() {
            return;
        }
        let answers = self.outbox.give_up(code, Code::NotOwner);
        self.outs.extend(answers);
        self.outs.push(Output::StepDown(why));
        self.over = Some(why);
    }

    fn handle_after_end(&mut self, input: Input) {
        match input {
            Input::Submit(ticket, _) => self.out(Output::Submitted(ticket, Code::NotOwner)),
            Input::Cancel(ticket, _) => self.out(Output::Cancelled(ticket, Code::NotOwner)),
            Input::Offer(ticket, _) => self.out(Output::OfferReply(ticket, Code::NotOwner, None)),
            _ => {}
        }
    }

    /// Does everything that is due.
    fn advance(&mut self, now: Time) {
        if self.over.is_some() {
            return;
        }
        let answers = self.outbox.expire(now);
        self.outs.extend(answers);
        if !self.stopping {
            self.sweep_if_due(now);
            self.decide_if_due(now);
            self.send_offers(now);
            self.send_passes(now);
            self.exchange(now);
        } else if self.outbox.is_waiting_to_retry(now) {
            // The planned stop can't be stored yet, so the leases are still this owner's concern.
            self.exchange(now);
        }
        self.append(now);
    }
    /// Whether the owner takes part in nothing new.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Looks for workers whose lease has ended or that may have no tasks.
    fn sweep_if_due(&mut self, now: Time) {
        if now.since(self.swept) < SWEEP_GAP {
            return;
        }
        self.swept = now;
        self.relocate(now);
        self.clear_out(now);
    }

    /// Asks the policy if something has changed or some time has passed.
    fn decide_if_due(&mut self, now: Time) {
        let gap = if self.dirty { DECIDE_GAP } else { DECIDE_EVERY };
        if now.since(self.decided) < gap {
            return;
        }
        self.dirty = false;
        self.decided = now;
        self.record_startable(now);
        self.decide(now);
    }

    /// Records when starts become impossible for lack of evidence.
    fn record_startable(&mut self, now: Time) {
        let startable = self.is_startable(now);
        if self.was_startable && !startable && self.home_in_service() {
            let age = self.evidence.map_or(i64::MAX, |began| {
                i64::try_from(now.since(began).as_micros()).unwrap_or(i64::MAX)
            });
            let subject = Subject::Shard(self.shard.clone());
            let note = Note::new(subject, Action::Delay, Cause::StaleEvidence);
            self.record(
                now,
                note.facts(vec![Fact::new("evidence-age", age, Unit::Micros)]),
            );
        }
        self.was_startable = startable;
    }
}
