//! Handoff of queued tasks between shards, for both the source and the target.
//!
//! The source stores the offer and repeats it until the target has replied; the
//! target stores its reply before it sends it. The key of an offer (task and
//! attempt) is used only once: a task gets the next attempt number when its
//! offer is withdrawn at the source or it is received at the target.

use super::commit_queue::{CommitItem, PendingReply};
use super::io::{Offer, OfferReply, Output, RequestId};
use super::jobs::REPEAT_INTERVAL;
use super::owner::Owner;
use super::policy::Policy;
use super::recorder::RecordDraft;
use super::state::TaskState;
use crate::journal::Change;
use crate::model::{Action, Attempt, Cause, Code, Subject, TaskId, Time};

impl<P: Policy> Owner<P> {
    /// Sends the offers whose next transmission is due. Only stored offers are sent.
    pub(super) fn send_offers(&mut self, now: Time) {
        let mut due = Vec::new();
        for (key, next) in &mut self.open_offers {
            if *next <= now {
                *next = now + REPEAT_INTERVAL;
                due.push(key.clone());
            }
        }
        for key in due {
            if let Some(offer) = self.offer(&key) {
                self.emit(Output::Offer(offer));
            }
        }
    }

    /// Schedules all stored offers for transmission, for a new owner.
    pub(super) fn resume_offers(&mut self, now: Time) {
        let offered = self.state.stored.tasks.iter();
        let offered = offered.filter(|(_, t)| matches!(t.state, TaskState::Offered { .. }));
        self.open_offers = offered
            .map(|(id, t)| ((id.clone(), t.attempt), now))
            .collect();
    }

    fn offer(&self, (id, attempt): &(TaskId, Attempt)) -> Option<Offer> {
        // The offer is no longer open if its reply has arrived and is being stored.
        let task = self.state.planned.tasks.get(id)?;
        let TaskState::Offered { to } = &task.state else {
            return None;
        };
        Some(Offer {
            from: self.shard.clone(),
            to: to.clone(),
            epoch: self.epoch,
            job: self.state.planned.jobs.get(&id.job)?.spec.clone(),
            task: id.clone(),
            attempt: *attempt,
            checkpoint: task.checkpoint.clone(),
            parent: self.recorder.latest(&Subject::Task(id.clone())),
        })
    }

    /// Handles the target's reply to an offer.
    pub(super) fn handle_offer_reply(
        &mut self,
        now: Time,
        task: &TaskId,
        attempt: Attempt,
        reply: Option<OfferReply>,
    ) {
        let current = self.state.planned.tasks.get(task);
        let open = current.is_some_and(|current| {
            current.attempt == attempt && matches!(current.state, TaskState::Offered { .. })
        });
        let (true, Some(reply), false) = (open, reply, self.is_stopping()) else {
            return;
        };
        let task = task.clone();
        let change = match reply {
            OfferReply::Received => Change::Released { task, attempt },
            OfferReply::Refused => Change::Withdrawn { task, attempt },
        };
        self.plan(now, change, None);
    }

    /// Handles an offer of another shard. The reply is sent once it is stored.
    pub(super) fn handle_offer(&mut self, now: Time, request: RequestId, offer: Offer) {
        let key = (offer.task.clone(), offer.attempt);
        if offer.to != self.shard || self.is_stopping() {
            return self.emit(Output::OfferReply(request, Code::NotOwner, None));
        }
        if let Some(received) = self.state.stored.answered_offers.get(&key) {
            let reply = Some(reply_for(*received));
            return self.emit(Output::OfferReply(request, Code::Done, reply));
        }
        if !self.commits.is_accepting(now) {
            return self.emit(Output::OfferReply(request, Code::StoreUnavailable, None));
        }
        if let Some(received) = self.state.planned.answered_offers.get(&key) {
            return self.commits.push(CommitItem {
                reply: Some(PendingReply::Offer(request, reply_for(*received))),
                ..CommitItem::default()
            });
        }
        let highest = self.state.planned.source_epochs.get(&offer.from);
        let stale = highest.is_some_and(|epoch| offer.epoch < *epoch);
        if stale || self.state.planned.tasks.contains_key(&offer.task) {
            // From an owner that was replaced. Its successor repeats offers that are still open.
            return self.emit(Output::OfferReply(request, Code::NotOwner, None));
        }
        self.plan_offer_reply(now, request, offer);
    }

    fn plan_offer_reply(&mut self, now: Time, request: RequestId, offer: Offer) {
        let received = self.can_run(&offer);
        let subject = Subject::Task(offer.task.clone());
        let (change, action, cause, place) = match received {
            true => {
                let (action, cause) = (Action::Receive, Cause::RoomElsewhere);
                (receipt(&offer), action, cause, &offer.from)
            }
            false => {
                let (action, cause) = (Action::Refuse, Cause::NoCapacity);
                (refusal(&offer), action, cause, &self.shard)
            }
        };
        let draft = RecordDraft::new(subject, action, cause)
            .with_place(place.as_str())
            .with_parent(offer.parent);
        let reply = PendingReply::Offer(request, reply_for(received));
        self.plan_with(now, change, Some(draft), Some(reply));
    }

    /// Whether the offered task can run in this shard: its domain is in service
    /// and permitted, and some worker has enough capacity.
    fn can_run(&self, offer: &Offer) -> bool {
        let spec = &offer.job.task;
        let Some(domain) = self.home_domain() else {
            return false;
        };
        let permitted = spec.domains.is_empty() || spec.domains.contains(domain);
        let mut workers = self.config.workers_of(&self.shard);
        let large = workers.any(|(name, _)| spec.size.fits(&self.capacity(name)));
        permitted && large && self.config.in_service(domain)
    }
}

fn reply_for(received: bool) -> OfferReply {
    match received {
        true => OfferReply::Received,
        false => OfferReply::Refused,
    }
}

fn receipt(offer: &Offer) -> Change {
    Change::Received {
        job: offer.job.clone(),
        task: offer.task.clone(),
        attempt: offer.attempt,
        checkpoint: offer.checkpoint.clone(),
        from: offer.from.clone(),
        epoch: offer.epoch,
    }
}

fn refusal(offer: &Offer) -> Change {
    Change::Declined {
        task: offer.task.clone(),
        attempt: offer.attempt,
        from: offer.from.clone(),
        epoch: offer.epoch,
    }
}
