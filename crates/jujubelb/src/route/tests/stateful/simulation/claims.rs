//! Claims, their holders and the messages between them.

use super::*;

impl Simulation {
    pub(super) fn send_claims(&mut self, call: usize, until: Time) {
        let state = &self.calls[call];
        let operation = &self.operations[state.operation];
        let Some(process) = &self.hosts[state.host] else {
            return;
        };
        let key = ClaimKey {
            service: operation.info.service.clone(),
            key: operation.info.key.clone().unwrap_or_default(),
        };
        let plan = process.sets.plan(self.now, &key);
        let claimant = Claimant::new(call as u128, plan, until);
        self.send_messages(call, &claimant, &key, false);
        self.calls[call].claimant = Some((claimant, key));
    }

    pub(super) fn send_messages(
        &mut self,
        call: usize,
        claimant: &Claimant,
        key: &ClaimKey,
        release: bool,
    ) {
        for target in claimant.targets() {
            self.messages.push(Message {
                call,
                target,
                key: key.clone(),
                claimant: claimant.id(),
                sets: claimant.sets().to_vec(),
                release,
            });
        }
    }

    pub(super) fn release(&mut self, call: usize) {
        if let Some((claimant, key)) = self.calls[call].claimant.clone() {
            self.send_messages(call, &claimant, &key, true);
        }
    }

    pub(super) fn claim(&mut self, message: usize, lost: bool, duplicate: bool) {
        let message = if duplicate {
            self.messages[message].clone()
        } else {
            self.messages.remove(message)
        };
        let host = (0..HOSTS).find(|h| node(*h) == message.target);
        let process = host.and_then(|h| self.hosts[h].as_mut());
        let answer = match process {
            None => None,
            Some(p) if message.release => {
                p.holder.release(self.now, &message.key, message.claimant);
                return;
            }
            Some(p) => {
                let Message { key, claimant, .. } = &message;
                let own = p.sets.plan(self.now, key).sets;
                let trusting = self.fault == Some(SimulationFault::TrustClaimant);
                let sets = if trusting { &own } else { &message.sets };
                Some(p.holder.claim(self.now, key, *claimant, sets, &p.sets))
            }
        };
        if message.release || lost || !self.is_live(message.call) {
            return;
        }
        let Some((claimant, _)) = &mut self.calls[message.call].claimant else {
            return;
        };
        if let Some(result) = claimant.answered(&message.target, answer) {
            self.claimed(message.call, result);
        }
    }

    pub(super) fn poll_claim(&mut self, call: usize) {
        let now = self.now;
        let claimant = &mut self.calls[call].claimant;
        if let Some(result) = claimant.as_mut().and_then(|(c, _)| c.poll(now)) {
            self.claimed(call, result);
        }
    }

    pub(super) fn claimed(&mut self, call: usize, result: ClaimResult) {
        self.observe(match result {
            ClaimResult::Granted => "claim granted",
            ClaimResult::Held => "claim held",
            ClaimResult::Unavailable => "claim unavailable",
        });
        let (host, ticket) = (self.calls[call].host, self.calls[call].ticket);
        if let Some(process) = &mut self.hosts[host] {
            process.router.claim_finished(self.now, ticket, result);
        }
    }
}
