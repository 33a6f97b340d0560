//! Fake endpoints and the network to them.

use super::*;

impl World {
    pub(super) fn arrive(&mut self, flight: usize) {
        let Flight {
            call,
            landed,
            reported,
            ..
        } = self.flights[flight];
        if std::mem::replace(&mut self.flights[flight].landed, true) || landed {
            return;
        }
        let index = self.config.services["booking"]
            .endpoints
            .get_index_of(&self.flights[flight].endpoint);
        match self.endpoints[index.unwrap_or(0)] {
            0 => {
                self.see("unconnected");
                self.report(flight, AttemptOutcome::Unconnected);
            }
            2 => {
                self.see("declined");
                self.report(flight, AttemptOutcome::Declined);
            }
            _ => {
                self.flights[flight].running = true;
                self.run(call);
                if reported {
                    self.see("run after report");
                }
            }
        }
    }

    pub(super) fn run(&mut self, call: usize) {
        let state = &mut self.calls[call];
        state.runs += 1;
        let operation = &mut self.operations[state.operation];
        operation.runs += 1;
        if !operation.info.idempotent && operation.runs > 1 {
            self.broken.insert(Rule::AtMostOnce);
        }
        if state.denied {
            self.broken.insert(Rule::NotRun);
        }
    }

    pub(super) fn answer(&mut self, flight: usize, leaving: bool) {
        if !self.flights[flight].running {
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
        self.report(flight, end);
    }

    /// Tells the host the end of an attempt, if the process that sent it still lives.
    pub(super) fn report(&mut self, flight: usize, end: AttemptOutcome) {
        if std::mem::replace(&mut self.flights[flight].reported, true) {
            return;
        }
        let Flight {
            call,
            attempt,
            ref endpoint,
            ..
        } = self.flights[flight];
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
            process.said.insert(endpoint);
        }
        let delivery = process.router.attempt_finished(self.now, attempt, end);
        match end {
            AttemptOutcome::Broken => self.see("broken"),
            AttemptOutcome::TimedOut => self.see("timeout"),
            _ => {}
        }
        match delivery {
            Delivery::Deliver(ticket) => {
                let state = &mut self.calls[call];
                let answered = matches!(end, AttemptOutcome::Answered { .. });
                if !state.open || state.ticket != ticket || !answered {
                    self.broken.insert(Rule::OwnAnswer);
                }
                state.open = false;
                self.see("answer");
            }
            Delivery::Pending(ticket) if self.calls[call].ticket == ticket => {}
            Delivery::Pending(_) => {
                self.broken.insert(Rule::OwnAnswer);
            }
            Delivery::Discard => self.see("late answer"),
        }
    }
}
