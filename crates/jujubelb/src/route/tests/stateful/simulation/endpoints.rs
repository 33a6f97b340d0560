//! Simulated endpoints and the network to them.

use super::*;

impl Simulation {
    pub(super) fn arrive(&mut self, position: usize) {
        let AttemptState {
            call,
            delivered,
            reported,
            ..
        } = self.attempts[position];
        if std::mem::replace(&mut self.attempts[position].delivered, true) || delivered {
            return;
        }
        let index = self.config.services["booking"]
            .endpoints
            .get_index_of(&self.attempts[position].endpoint);
        match self.endpoints[index.unwrap_or(0)] {
            0 => {
                self.observe("unconnected");
                self.report(position, AttemptOutcome::Unconnected);
            }
            2 => {
                self.observe("declined");
                self.report(position, AttemptOutcome::Declined);
            }
            _ => {
                self.attempts[position].running = true;
                self.record_run(call);
                if reported {
                    self.observe("run after report");
                }
            }
        }
    }

    pub(super) fn record_run(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.runs += 1;
        let operation = &mut self.operations[state.operation];
        operation.runs += 1;
        if !operation.info.idempotent && operation.runs > 1 {
            self.violations.insert(Invariant::AtMostOnce);
        }
        if state.reported_not_run {
            self.violations.insert(Invariant::NotRun);
        }
    }

    pub(super) fn respond(&mut self, position: usize, leaving: bool) {
        if !self.attempts[position].running {
            return;
        }
        let end = match OK {
            AttemptOutcome::Answered { status, bytes, .. } => AttemptOutcome::Answered {
                status,
                bytes,
                leaving,
            },
            other => other,
        };
        self.report(position, end);
    }

    /// Reports the outcome of an attempt to its host, if the process that sent it still runs.
    pub(super) fn report(&mut self, position: usize, end: AttemptOutcome) {
        if std::mem::replace(&mut self.attempts[position].reported, true) {
            return;
        }
        let AttemptState {
            call,
            attempt,
            ref endpoint,
            ..
        } = self.attempts[position];
        let endpoint = endpoint.clone();
        let state = &self.calls[call];
        let Some(process) = &mut self.hosts[state.host] else {
            return;
        };
        if process.incarnation != state.incarnation {
            return;
        }
        let says_leaving = matches!(
            end,
            AttemptOutcome::Declined | AttemptOutcome::Answered { leaving: true, .. }
        );
        if says_leaving {
            process.announced.insert(endpoint);
        }
        let delivery = process.router.attempt_finished(self.now, attempt, end);
        match end {
            AttemptOutcome::Broken => self.observe("broken"),
            AttemptOutcome::TimedOut => self.observe("timeout"),
            _ => {}
        }
        match delivery {
            Delivery::Deliver(ticket) => {
                let state = &mut self.calls[call];
                let answered = matches!(end, AttemptOutcome::Answered { .. });
                if !state.open || state.ticket != ticket || !answered {
                    self.violations.insert(Invariant::OwnAnswer);
                }
                state.open = false;
                self.observe("answer");
            }
            Delivery::Pending(ticket) if self.calls[call].ticket == ticket => {}
            Delivery::Pending(_) => {
                self.violations.insert(Invariant::OwnAnswer);
            }
            Delivery::Discard => self.observe("late answer"),
        }
    }
}
