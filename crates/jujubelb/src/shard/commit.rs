//! Planning changes, appending them to the log and handling the result.

use indexmap::IndexSet;

use super::commit_queue::{CommitItem, PendingReply};
use super::io::{Output, StepDownReason};
use super::owner::Owner;
use super::policy::Policy;
use super::recorder::RecordDraft;
use crate::journal::Change;
use crate::model::{Code, RecordId, Time, WorkerName};
use crate::store::StoreError;

impl<P: Policy> Owner<P> {
    /// Plans a change with its record. Returns false if the change does not apply to
    /// the planned state.
    pub(super) fn plan(&mut self, now: Time, change: Change, draft: Option<RecordDraft>) -> bool {
        self.plan_with(now, change, draft, None)
    }

    pub(super) fn plan_with(
        &mut self,
        now: Time,
        change: Change,
        draft: Option<RecordDraft>,
        reply: Option<PendingReply>,
    ) -> bool {
        if let Err(error) = self.state.plan(&change) {
            log::error!(shard = self.shard.as_str(); "dropped a change that does not apply to the planned state: {error}");
            return false;
        }
        let records = draft.map(|draft| self.recorder.create(now, draft));
        self.commits.push(CommitItem {
            change: Some(change),
            records: records.into_iter().collect(),
            reply,
        });
        self.dirty = true;
        true
    }

    /// Records a decision that needs no change of the state.
    pub(super) fn record(&mut self, now: Time, draft: RecordDraft) -> RecordId {
        let record = self.recorder.create(now, draft);
        let id = record.id.clone();
        self.commits.push(CommitItem {
            records: vec![record],
            ..CommitItem::default()
        });
        id
    }

    pub(super) fn handle_append_result(
        &mut self,
        now: Time,
        seq: u64,
        result: Result<(), StoreError>,
    ) {
        match result {
            Ok(()) => self.append_stored(now, seq),
            Err(error) => self.append_failed(now, seq, &error),
        }
    }

    fn append_stored(&mut self, now: Time, seq: u64) {
        let Some((segment, replies)) = self.commits.confirm(seq) else {
            return;
        };
        let affected = self.affected(&segment.changes);
        if let Err(error) = self.state.commit(&segment) {
            // The changes were planned on this state, so this is a bug, and the state
            // is no longer reliable.
            log::error!(shard = self.shard.as_str(); "stepping down: a stored segment does not apply to the state: {error}");
            return self.step_down(StepDownReason::Fenced(self.epoch), Code::Internal);
        }
        self.outputs.extend(replies);
        for worker in affected {
            if let Some(tracked) = self.workers.get_mut(&worker) {
                tracked.sync_soon = true;
                tracked.forget_starts(&segment.changes);
            }
        }
        for change in &segment.changes {
            self.act_on_stored(now, change);
        }
        self.dirty = true;
    }

    /// Returns the workers that may get commands once these changes are stored.
    fn affected(&self, changes: &[Change]) -> IndexSet<WorkerName> {
        let mut affected = IndexSet::new();
        for change in changes {
            match change {
                Change::Assigned { worker, .. } => {
                    affected.insert(worker.clone());
                }
                Change::Ended { task, .. } | Change::Resized { task, .. } => {
                    let place = self.state.stored.assignment(task);
                    affected.extend(place.map(|(worker, _, _)| worker.clone()));
                }
                Change::Cancelled { .. } => affected.extend(self.state.occupied_workers().cloned()),
                _ => {}
            }
        }
        affected
    }

    fn act_on_stored(&mut self, now: Time, change: &Change) {
        match change {
            Change::Cancelled { job } => self.queue_cancellation(now, job),
            Change::Offered { task, attempt, .. } => {
                self.open_offers.insert((task.clone(), *attempt), now);
            }
            Change::Released { task, attempt } => {
                self.open_offers.shift_remove(&(task.clone(), *attempt));
                self.queue_cancellation(now, &task.job);
            }
            Change::Withdrawn { task, attempt } => {
                self.open_offers.shift_remove(&(task.clone(), *attempt));
            }
            Change::Ended { task, attempt, .. } => {
                self.evictions.shift_remove(&(task.clone(), *attempt));
                self.notified_ends.swap_remove(task);
            }
            Change::SteppedDown => self.step_down(StepDownReason::Stopped, Code::Internal),
            _ => {}
        }
    }

    fn append_failed(&mut self, now: Time, seq: u64, error: &StoreError) {
        let Some(replies) = self.commits.fail(seq, now) else {
            return;
        };
        log::warn!(shard = self.shard.as_str(); "append to the log failed, planned changes are discarded: {error}");
        self.outputs.extend(replies);
        self.state.discard_planned();
        self.reconcile_all(now);
        self.dirty = true;
    }

    pub(super) fn append(&mut self, now: Time) {
        if self.is_stopping() && self.state.planned.owners.contains_key(&self.epoch) {
            self.plan(now, Change::SteppedDown, None);
        }
        if let Some(segment) = self.commits.next_segment(now, self.epoch, &self.writer) {
            self.emit(Output::Append(segment));
        }
    }
}
