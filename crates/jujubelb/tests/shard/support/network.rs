//! Simulated messages between processes and workers, and reads of the configuration.

use jujubelb::model::{Code, Incarnation, Span};
use jujubelb::shard::{Cancellation, FormerOwnerStatus, Input, Offer, RequestId};
use jujubelb::worker::{Command, SyncRequest, SyncResponse};

use super::world::{InjectedBug, MessageFault, World};

impl World {
    pub(super) fn send_sync(&mut self, p: usize, worker: &str, request: SyncRequest) {
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
        let slow = self.slow_starts.filter(|_| starts).map(MessageFault::Slow);
        let fault = slow.or_else(|| self.message_faults.pop());
        let (worker, _) = &mut self.workers[w];
        let mut answer = None;
        match fault {
            _ if worker.unreachable || self.cut_links.contains(&(p, w)) => {}
            Some(MessageFault::Drop) => {}
            Some(MessageFault::Delay) => self.delayed_requests.push((w, request)),
            Some(MessageFault::LoseReply) => {
                worker.sync(self.now, &request);
            }
            Some(MessageFault::Duplicate) => {
                answer = Some(worker.sync(self.now, &request));
                self.delayed_requests.push((w, request));
            }
            Some(MessageFault::Slow(ms)) => {
                let arrival = self.now + Span::from_millis(ms);
                let incarnation = self.processes[p].incarnation;
                self.in_transit.push((arrival, p, incarnation, w, request));
                return;
            }
            Some(MessageFault::DelayReply) => {
                let answer = worker.sync(self.now, &request);
                let incarnation = self.processes[p].incarnation;
                self.delayed_replies.push((p, incarnation, w, Some(answer)));
                return;
            }
            None => answer = Some(worker.sync(self.now, &request)),
        }
        self.observe();
        match answer {
            Some(answer) => self.send_input(p, Input::SyncReply(name, answer)),
            None => self.send_input(p, Input::SyncFailed(name)),
        }
    }

    pub(super) fn send_offer(&mut self, p: usize, offer: Offer) {
        let fault = self.offer_faults.pop();
        if matches!(fault, Some(MessageFault::Delay | MessageFault::Duplicate)) {
            self.delayed_offers.push(offer.clone());
        }
        let lost = matches!(fault, Some(MessageFault::Drop | MessageFault::Delay));
        let target = self.owner_of(&offer.to).filter(|_| !lost);
        let Some(target) = target else {
            return self.send_input(p, Input::OfferReply(offer.task, offer.attempt, None));
        };
        let request = self.next_request_id();
        if fault != Some(MessageFault::LoseReply) {
            let incarnation = self.processes[p].incarnation;
            let from = (p, incarnation, offer.task.clone(), offer.attempt);
            self.sent_offers.insert(request, from);
        }
        self.send_input(target, Input::Offer(request, offer));
    }

    pub(super) fn forward_cancel(&mut self, p: usize, cancel: Cancellation) {
        let Some(target) = self.owner_of(&cancel.shard) else {
            return self.send_input(p, Input::CancelReply(cancel, None));
        };
        let request = self.next_request_id();
        let incarnation = self.processes[p].incarnation;
        self.sent_cancellations
            .insert(request, (p, incarnation, cancel.clone()));
        self.send_input(target, Input::Cancel(request, cancel));
    }

    pub(super) fn handle_cancel_code(&mut self, request: RequestId, code: Code) {
        let Some((p, incarnation, cancel)) = self.sent_cancellations.shift_remove(&request) else {
            return;
        };
        if p == usize::MAX {
            self.cancel_codes.push((cancel.job, code));
        } else if self.processes[p].incarnation == incarnation && !self.processes[p].paused {
            self.send_input(p, Input::CancelReply(cancel, Some(code)));
        }
    }

    /// Delivers all delayed messages and replies.
    pub fn deliver_delayed(&mut self) {
        for (w, request) in std::mem::take(&mut self.delayed_requests) {
            if !self.workers[w].0.unreachable {
                self.workers[w].0.sync(self.now, &request);
                self.observe();
            }
        }
        for offer in std::mem::take(&mut self.delayed_offers) {
            if let Some(target) = self.owner_of(&offer.to) {
                let request = self.next_request_id();
                self.send_input(target, Input::Offer(request, offer));
            }
        }
        self.deliver_replies();
    }

    pub(super) fn deliver_replies(&mut self) {
        for (p, incarnation, w, answer) in std::mem::take(&mut self.delayed_replies) {
            self.deliver_reply(p, incarnation, w, answer);
        }
    }

    /// Delivers the requests whose arrival is due, including those of processes that have ended.
    pub(super) fn deliver_transit(&mut self) {
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.in_transit)
            .into_iter()
            .partition(|t| t.0 <= self.now);
        self.in_transit = rest;
        for (_, p, incarnation, w, request) in due {
            if self.workers[w].0.unreachable {
                self.deliver_reply(p, incarnation, w, None);
            } else {
                let answer = self.workers[w].0.sync(self.now, &request);
                self.observe();
                self.deliver_reply(p, incarnation, w, Some(answer));
            }
        }
    }

    /// Delivers the result of an exchange to its sender, or delays it while the sender is paused.
    fn deliver_reply(
        &mut self,
        p: usize,
        incarnation: u64,
        w: usize,
        answer: Option<SyncResponse>,
    ) {
        let process = &self.processes[p];
        if process.incarnation != incarnation {
            return;
        }
        if process.paused {
            self.delayed_replies.push((p, incarnation, w, answer));
            return;
        }
        let name = self.workers[w].0.name.clone();
        match answer {
            Some(answer) => self.send_input(p, Input::SyncReply(name, answer)),
            None => self.send_input(p, Input::SyncFailed(name)),
        }
    }

    pub(super) fn read_config(&mut self, p: usize) {
        if self.injected_bug == InjectedBug::IgnoreEvidence {
            let began = self.local_time(p);
            self.send_input(p, Input::Evidence(began));
        }
        if self.store.is_down() || self.processes[p].config_unreadable {
            return;
        }
        let lag = self.processes[p].config_lag;
        let config = self.config_at(self.now - lag);
        let known = self.processes[p].revision;
        if config.revision > known {
            self.processes[p].revision = config.revision;
            self.send_input(p, Input::Config(config.clone()));
        }
        if config.revision >= known {
            let began = self.local_time(p) - lag;
            self.send_input(p, Input::Evidence(began));
        }
    }

    /// Queries the nodes of former owners, as the process of a new owner does.
    pub(super) fn query_former_owners(&mut self, p: usize) {
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
            if process.unreachable || process.paused {
                continue;
            }
            let incarnation = Incarnation(process.incarnation);
            let renews = process
                .owner
                .as_ref()
                .is_some_and(|o| o.renews_leases(self.local_time(former)));
            if incarnation != writer.incarnation {
                self.send_input(
                    p,
                    Input::FormerOwner(writer, FormerOwnerStatus::Restarted(incarnation)),
                );
            } else if !renews {
                self.send_input(
                    p,
                    Input::FormerOwner(writer, FormerOwnerStatus::StoppedRenewing),
                );
            }
        }
    }
}
