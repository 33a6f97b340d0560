//! Messages between processes, workers and the store's configuration.

use jujubelb::model::{Code, Incarnation, Span};
use jujubelb::shard::{Cancellation, FormerOwnerStatus, Input, Offer, RequestId};
use jujubelb::worker::{Command, SyncRequest, SyncResponse};

use super::world::{Mode, Sabotage, World};

impl World {
    pub(super) fn sync(&mut self, p: usize, worker: &str, request: SyncRequest) {
        let name = worker.into();
        let w = self
            .workers
            .iter()
            .position(|(w, _)| w.name.as_str() == worker);
        let w = w.unwrap();
        let starts = request
            .commands
            .iter()
            .any(|c| matches!(c, Command::Start { .. }));
        let slow = self.slow_starts.filter(|_| starts).map(Mode::Slow);
        let mode = slow.or_else(|| self.modes.pop());
        let (fake, _) = &mut self.workers[w];
        let mut answer = None;
        match mode {
            _ if fake.cut || self.cuts.contains(&(p, w)) => {}
            Some(Mode::Drop) => {}
            Some(Mode::Delay) => self.late.push((w, request)),
            Some(Mode::LoseAnswer) => {
                fake.sync(self.now, &request);
            }
            Some(Mode::Duplicate) => {
                answer = Some(fake.sync(self.now, &request));
                self.late.push((w, request));
            }
            Some(Mode::Slow(ms)) => {
                let arrival = self.now + Span::from_millis(ms);
                let incarnation = self.processes[p].incarnation;
                self.transit.push((arrival, p, incarnation, w, request));
                return;
            }
            Some(Mode::SlowAnswer) => {
                let answer = fake.sync(self.now, &request);
                let incarnation = self.processes[p].incarnation;
                self.slow.push((p, incarnation, w, Some(answer)));
                return;
            }
            None => answer = Some(fake.sync(self.now, &request)),
        }
        self.look();
        match answer {
            Some(answer) => self.give(p, Input::SyncReply(name, answer)),
            None => self.give(p, Input::SyncFailed(name)),
        }
    }

    pub(super) fn send_offer(&mut self, p: usize, offer: Offer) {
        let mode = self.offer_modes.pop();
        if matches!(mode, Some(Mode::Delay | Mode::Duplicate)) {
            self.late_offers.push(offer.clone());
        }
        let lost = matches!(mode, Some(Mode::Drop | Mode::Delay));
        let target = self.owner_of(&offer.to).filter(|_| !lost);
        let Some(target) = target else {
            return self.give(p, Input::OfferReply(offer.task, offer.attempt, None));
        };
        let ticket = self.ticket();
        if mode != Some(Mode::LoseAnswer) {
            let incarnation = self.processes[p].incarnation;
            let from = (p, incarnation, offer.task.clone(), offer.attempt);
            self.offers.insert(ticket, from);
        }
        self.give(target, Input::Offer(ticket, offer));
    }

    pub(super) fn pass_cancel(&mut self, p: usize, cancel: Cancellation) {
        let Some(target) = self.owner_of(&cancel.shard) else {
            return self.give(p, Input::CancelReply(cancel, None));
        };
        let ticket = self.ticket();
        let incarnation = self.processes[p].incarnation;
        self.cancels
            .insert(ticket, (p, incarnation, cancel.clone()));
        self.give(target, Input::Cancel(ticket, cancel));
    }

    pub(super) fn cancel_answered(&mut self, ticket: RequestId, code: Code) {
        let Some((p, incarnation, cancel)) = self.cancels.shift_remove(&ticket) else {
            return;
        };
        if p == usize::MAX {
            self.cancelled.push((cancel.job, code));
        } else if self.processes[p].incarnation == incarnation && !self.processes[p].paused {
            self.give(p, Input::CancelReply(cancel, Some(code)));
        }
    }

    /// Delivers messages and answers that were delayed.
    pub fn deliver_late(&mut self) {
        for (w, request) in std::mem::take(&mut self.late) {
            if !self.workers[w].0.cut {
                self.workers[w].0.sync(self.now, &request);
                self.look();
            }
        }
        for offer in std::mem::take(&mut self.late_offers) {
            if let Some(target) = self.owner_of(&offer.to) {
                let ticket = self.ticket();
                self.give(target, Input::Offer(ticket, offer));
            }
        }
        self.deliver_answers();
    }

    pub(super) fn deliver_answers(&mut self) {
        for (p, incarnation, w, answer) in std::mem::take(&mut self.slow) {
            self.answer(p, incarnation, w, answer);
        }
    }

    /// Delivers the requests whose time has come, also those of processes that are gone.
    pub(super) fn deliver_transit(&mut self) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.transit)
            .into_iter()
            .partition(|t| t.0 <= self.now);
        self.transit = rest;
        for (_, p, incarnation, w, request) in due {
            if self.workers[w].0.cut {
                self.answer(p, incarnation, w, None);
            } else {
                let answer = self.workers[w].0.sync(self.now, &request);
                self.look();
                self.answer(p, incarnation, w, Some(answer));
            }
        }
    }

    /// Gives the result of an exchange to its sender, once the sender is awake.
    fn answer(&mut self, p: usize, incarnation: u64, w: usize, answer: Option<SyncResponse>) {
        let process = &self.processes[p];
        if process.incarnation != incarnation {
            return;
        }
        if process.paused {
            self.slow.push((p, incarnation, w, answer));
            return;
        }
        let name = self.workers[w].0.name.clone();
        match answer {
            Some(answer) => self.give(p, Input::SyncReply(name, answer)),
            None => self.give(p, Input::SyncFailed(name)),
        }
    }

    pub(super) fn read_config(&mut self, p: usize) {
        if self.sabotage == Sabotage::IgnoreEvidence {
            let began = self.local(p);
            self.give(p, Input::Evidence(began));
        }
        if self.store.is_down() || self.processes[p].deaf {
            return;
        }
        let lag = self.processes[p].lag;
        let config = self.config_at(self.now - lag);
        let known = self.processes[p].revision;
        if config.revision > known {
            self.processes[p].revision = config.revision;
            self.give(p, Input::Config(config.clone()));
        }
        if config.revision >= known {
            let began = self.local(p) - lag;
            self.give(p, Input::Evidence(began));
        }
    }

    /// Asks the nodes of former owners, as the process of a new owner does.
    pub(super) fn ask_formers(&mut self, p: usize) {
        let Some(owner) = &self.processes[p].owner else {
            return;
        };
        for writer in owner.former_owners() {
            let former = self
                .processes
                .iter()
                .position(|f| f.node == writer.node)
                .unwrap();
            let process = &self.processes[former];
            if process.silent || process.paused {
                continue;
            }
            let incarnation = Incarnation(process.incarnation);
            let renews = process
                .owner
                .as_ref()
                .is_some_and(|o| o.renews_leases(self.local(former)));
            if incarnation != writer.incarnation {
                self.give(
                    p,
                    Input::FormerOwner(writer, FormerOwnerStatus::Restarted(incarnation)),
                );
            } else if !renews {
                self.give(
                    p,
                    Input::FormerOwner(writer, FormerOwnerStatus::StoppedRenewing),
                );
            }
        }
    }
}
