//! Handing queued tasks off to other shards, in both roles.
//!
//! The source stores the offer and repeats it until the target has answered;
//! the target stores its answer before it gives it. The key of an offer (task
//! and attempt) is used once: a task that was withdrawn or received gets the
//! next attempt number.

use super::io::{Offer, OfferReply, Output, RequestId};
use super::jobs::REPEAT_EVERY;
use super::outbox::{Item, Reply};
use super::owner::Owner;
use super::policy::Policy;
use super::recorder::Note;
use super::state::TaskState;
use crate::journal::Change;
use crate::model::{Action, Attempt, Cause, Code, Subject, TaskId, Time};

impl<P: Policy> Owner<P> {
    /// Sends the offers that are due. Only stored offers are sent.
    pub(super) fn send_offers(&mut self, now: Time) {
        let mut due = Vec::new();
        for (key, next) in &mut self.offers {
            if *next <= now {
                *next = now + REPEAT_EVERY;
                due.push(key.clone());
            }
        }
        for key in due {
            if let Some(offer) = self.offer(&key) {
                self.out(Output::Offer(offer));
            }
        }
    }

    /// Repeats all stored offers, for a new owner.
    pub(super) fn resume_offers(&mut self, now: Time) {
        let offered = self.book.stored.tasks.iter();
        let offered = offered.filter(|(_, t)| matches!(t.state, TaskState::Offered { .. }));
        self.offers = offered
            .map(|(id, t)| ((id.clone(), t.attempt), now))
            .collect();
    }

    fn offer(&self, (id, attempt): &(TaskId, Attempt)) -> Option<Offer> {
        // No longer open if an answer was taken in and is being stored.
        let task = self.book.planned.tasks.get(id)?;
        let TaskState::Offered { to } = &task.state else {
            return None;
        };
        Some(Offer {
            from: self.shard.clone(),
            to: to.clone(),
            epoch: self.epoch,
            job: self.book.planned.jobs.get(&id.job)?.spec.clone(),
            task: id.clone(),
            attempt: *attempt,
            checkpoint: task.checkpoint.clone(),
            parent: self.recorder.latest(&Subject::Task(id.clone())),
        })
    }

    /// Takes the target's answer to an offer.
    pub(super) fn take_offer_answer(
        &mut self,
        now: Time,
        task: &TaskId,
        attempt: Attempt,
        answer: Option<OfferReply>,
    ) {
        let known = self.book.planned.tasks.get(task);
        let open = known.is_some_and(|known| {
            known.attempt == attempt && matches!(known.state, TaskState::Offered { .. })
        });
        let (true, Some(answer), false) = (open, answer, self.is_stopping()) else {
            return;
        };
        let task = task.clone();
        let change = match answer {
            OfferReply::Received => Change::Released { task, attempt },
            OfferReply::Refused => Change::Withdrawn { task, attempt },
        };
        self.plan(now, change, None);
    }

    /// Takes an offer of another shard. It is answered once the answer is stored.
    pub(super) fn take_offer(&mut self, now: Time, ticket: RequestId, offer: Offer) {
        let key = (offer.task.clone(), offer.attempt);
        if offer.to != self.shard || self.is_stopping() {
            return self.out(Output::OfferReply(ticket, Code::NotOwner, None));
        }
        if let Some(taken) = self.book.stored.answered_offers.get(&key) {
            let answer = Some(answer_for(*taken));
            return self.out(Output::OfferReply(ticket, Code::Done, answer));
        }
        if !self.outbox.is_open(now) {
            return self.out(Output::OfferReply(ticket, Code::StoreUnavailable, None));
        }
        if let Some(taken) = self.book.planned.answered_offers.get(&key) {
            return self.outbox.push(Item {
                reply: Some(Reply::Offer(ticket, answer_for(*taken))),
                ..Item::default()
            });
        }
        let highest = self.book.planned.source_epochs.get(&offer.from);
        let stale = highest.is_some_and(|epoch| offer.epoch < *epoch);
        if stale || self.book.planned.tasks.contains_key(&offer.task) {
            // From an owner that was replaced; its successor repeats what is still open.
            return self.out(Output::OfferReply(ticket, Code::NotOwner, None));
        }
        self.answer_offer(now, ticket, offer);
    }

    fn answer_offer(&mut self, now: Time, ticket: RequestId, offer: Offer) {
        let taken = self.takes(&offer);
        let subject = Subject::Task(offer.task.clone());
        let (change, action, cause, place) = match taken {
            true => {
                let (action, cause) = (Action::Receive, Cause::RoomElsewhere);
                (receipt(&offer), action, cause, &offer.from)
            }
            false => {
                let (action, cause) = (Action::Refuse, Cause::NoCapacity);
                (refusal(&offer), action, cause, &self.shard)
            }
        };
        let note = Note::new(subject, action, cause)
            .at(place.as_str())
            .parent(offer.parent);
        let reply = Reply::Offer(ticket, answer_for(taken));
        self.plan_with(now, change, Some(note), Some(reply));
    }

    /// Whether the task can run in this shard: the domain is in service and
    /// permitted, and some worker is large enough.
    fn takes(&self, offer: &Offer) -> bool {
        let spec = &offer.job.task;
        let Some(domain) = self.home() else {
            return false;
        };
        let permitted = spec.domains.is_empty() || spec.domains.contains(domain);
        let mut workers = self.config.workers_of(&self.shard);
        let large = workers.any(|(name, _)| spec.size.fits(&self.capacity(name)));
        permitted && large && self.config.in_service(domain)
    }
}

fn answer_for(taken: bool) -> OfferReply {
    match taken {
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
