//! Planning changes, appending them and acting on the result.

use indexmap::IndexSet;

use super::io::{Output, StepDownReason};
use super::outbox::{Item, Reply};
use super::owner::Owner;
use super::policy::Policy;
use super::recorder::Note;
use crate::journal::Change;
use crate::model::{Code, RecordId, Time, WorkerName};
use crate::store::StoreError;

impl<P: Policy> Owner<P> {
    /// Plans a change with its record; false if it does not fit the planned state.
    pub(super) fn plan(&mut self, now: Time, change: Change, note: Option<Note>) -> bool {
        self.plan_with(now, change, note, None)
    }

    pub(super) fn plan_with(
        &mut self,
        now: Time,
        change: Change,
        note: Option<Note>,
        reply: Option<Reply>,
    ) -> bool {
        if let Err(error) = self.book.plan(&change) {
            log::error!(shard = self.shard.as_str(); "a planned change was dropped: {error}");
            return false;
        }
        let records = note.map(|note| self.recorder.make(now, note));
        self.outbox.push(Item {
            change: Some(change),
            records: records.into_iter().collect(),
            reply,
        });
        self.dirty = true;
        true
    }

    /// Records a decision that needs no change.
    pub(super) fn record(&mut self, now: Time, note: Note) -> RecordId {
        let record = self.recorder.make(now, note);
        let id = record.id.clone();
        self.outbox.push(Item {
            records: vec![record],
            ..Item::default()
        });
        id
    }

    pub(super) fn appended(&mut self, now: Time, seq: u64, result: Result<(), StoreError>) {
        match result {
            Ok(()) => self.append_stored(now, seq),
            Err(error) => self.append_failed(now, seq, &error),
        }
    }

    fn append_stored(&mut self, now: Time, seq: u64) {
        let Some((segment, answers)) = self.outbox.stored(seq) else {
            return;
        };
        let touched = self.touched(&segment.changes);
        if let Err(error) = self.book.commit(&segment) {
            // The same changes were planned on the same state, so this is a fault
            // of the program; the state can no longer be trusted.
            log::error!(shard = self.shard.as_str(); "a stored segment does not apply: {error}");
            return self.step_down(StepDownReason::Fenced(self.epoch), Code::Internal);
        }
        self.outs.extend(answers);
        for worker in touched {
            if let Some(link) = self.links.get_mut(&worker) {
                link.eager = true;
                link.forget_starts(&segment.changes);
            }
        }
        for change in &segment.changes {
            self.act_on_stored(now, change);
        }
        self.dirty = true;
    }

    /// Workers that may get commands once these changes are stored.
    fn touched(&self, changes: &[Change]) -> IndexSet<WorkerName> {
        let mut touched = IndexSet::new();
        for change in changes {
            match change {
                Change::Assigned { worker, .. } => {
                    touched.insert(worker.clone());
                }
                Change::Ended { task, .. } | Change::Resized { task, .. } => {
                    let place = self.book.stored.assignment(task);
                    touched.extend(place.map(|(worker, _, _)| worker.clone()));
                }
                Change::Cancelled { .. } => touched.extend(self.book.occupied().cloned()),
                _ => {}
            }
        }
        touched
    }

    fn act_on_stored(&mut self, now: Time, change: &Change) {
        match change {
            Change::Cancelled { job } => self.pass_cancel(now, job),
            Change::Offered { task, attempt, .. } => {
                self.offers.insert((task.clone(), *attempt), now);
            }
            Change::Released { task, attempt } => {
                self.offers.shift_remove(&(task.clone(), *attempt));
                self.pass_cancel(now, &task.job);
            }
            Change::Withdrawn { task, attempt } => {
                self.offers.shift_remove(&(task.clone(), *attempt));
            }
            Change::Ended { task, attempt, .. } => {
                self.evicting.shift_remove(&(task.clone(), *attempt));
                self.told.swap_remove(task);
            }
            Change::SteppedDown => self.step_down(StepDownReason::Stopped, Code::Internal),
            _ => {}
        }
    }

    fn append_failed(&mut self, now: Time, seq: u64, error: &StoreError) {
        let Some(answers) = self.outbox.failed(seq, now) else {
            return;
        };
        log::warn!(shard = self.shard.as_str(); "an append failed: {error}");
        self.outs.extend(answers);
        self.book.abort();
        self.reconcile_all(now);
        self.dirty = true;
    }

    pub(super) fn append(&mut self, now: Time) {
        if self.is_stopping() && self.book.planned.owners.contains_key(&self.epoch) {
            self.plan(now, Change::SteppedDown, None);
        }
        if let Some(segment) = self.outbox.next(now, self.epoch, &self.writer) {
            self.out(Output::Append(segment));
        }
    }
}
