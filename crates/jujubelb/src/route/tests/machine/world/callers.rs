//! Callers and the steps of their requests.

use super::*;

impl World {
    pub(super) fn call(&mut self, operation: usize, host: usize) {
        let info = self.operations[operation].info.clone();
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        match process.router.admit(self.now, info.clone()) {
            Ok(ticket) => {
                if process.draining {
                    self.broken.insert(Rule::Draining);
                }
                self.calls.push(CallState {
                    operation,
                    host,
                    incarnation: process.incarnation,
                    ticket,
                    open: true,
                    claimant: None,
                    deadline: self.now + info.deadline.unwrap_or(Span::from_secs(1)),
                    runs: 0,
                    denied: false,
                });
            }
            Err(refusal) => {
                let runs = self.operations[operation].runs;
                if refusal.code.may_have_run() == MayHaveRun::No && info.key.is_some() && runs > 0 {
                    // An idempotent request may have run before with its key.
                    if !info.idempotent {
                        self.broken.insert(Rule::NotRun);
                    }
                }
                self.see(format!("code {}", refusal.code.number()));
            }
        }
    }

    /// Callers repeat keyed requests within the lifetime of the key, and only idempotent ones without.
    pub(super) fn retry(&mut self, call: usize, host: usize) {
        let ended: Vec<_> = self
            .calls
            .iter()
            .filter(|c| !c.open)
            .map(|c| c.operation)
            .collect();
        if ended.is_empty() {
            return;
        }
        let operation = ended[call % ended.len()];
        let known = &self.operations[operation];
        let repeatable = known.info.idempotent || known.info.key.is_some();
        if repeatable && self.now.since(known.started) < KEY_LIFETIME {
            self.see("retry of caller");
            self.call(operation, host);
        }
    }

    pub(super) fn hang_up(&mut self, call: usize) {
        if !self.is_live(call) {
            return;
        }
        let (host, ticket) = (self.calls[call].host, self.calls[call].ticket);
        self.calls[call].open = false;
        self.see("hang-up");
        let release = self.hosts[host]
            .as_mut()
            .is_some_and(|p| p.router.cancel_request(self.now, ticket));
        if release {
            self.release(call);
        }
    }

    /// Whether the request is open and its process lives.
    pub(super) fn is_live(&self, call: usize) -> bool {
        let call = &self.calls[call];
        let process = self.hosts[call.host].as_ref();
        call.open && process.is_some_and(|p| p.incarnation == call.incarnation)
    }

    // Steps.

    pub(super) fn next(&mut self, call: usize) {
        if !self.is_live(call) {
            return;
        }
        self.poll_claim(call);
        let host = self.calls[call].host;
        let ticket = self.calls[call].ticket;
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        match process.router.next_step(self.now, ticket, &mut self.rng) {
            Step::Claim { until } => self.ask_holders(call, until),
            Step::Send(dispatch) => self.send(call, dispatch),
            Step::Wait { .. } => {}
            Step::GiveUp(refusal) => {
                self.calls[call].open = false;
                self.see(format!("code {}", refusal.code.number()));
                self.check_code(call, refusal.code);
                if refusal.release_claim {
                    self.release(call);
                }
            }
        }
    }

    pub(super) fn check_code(&mut self, call: usize, code: Code) {
        let state = &mut self.calls[call];
        state.denied = code.may_have_run() == MayHaveRun::No;
        let operation = &self.operations[state.operation];
        let keyed_once = !operation.info.idempotent && operation.info.key.is_some();
        let ran = if keyed_once {
            operation.runs
        } else {
            state.runs
        };
        let mut flights = self
            .flights
            .iter()
            .filter(|f| f.call == call && !f.reported);
        if state.denied && (ran > 0 || flights.next().is_some()) {
            self.broken.insert(Rule::NotRun);
        }
    }

    pub(super) fn send(&mut self, call: usize, dispatch: Dispatch) {
        let host = self.calls[call].host;
        if self.now >= self.calls[call].deadline {
            self.broken.insert(Rule::Deadline);
        }
        let Some(process) = &self.hosts[host] else {
            return;
        };
        let signals = [&process.declared, &process.listed, &process.said];
        if signals.iter().any(|s| s.contains(&dispatch.endpoint)) {
            self.broken.insert(Rule::Leaving);
        }
        let incarnation = process.incarnation;
        if dispatch.hedge {
            self.see("hedge");
        }
        self.flights.push(Flight {
            call,
            attempt: dispatch.attempt,
            endpoint: dispatch.endpoint.clone(),
            until: dispatch.deadline,
            landed: false,
            running: false,
            reported: false,
        });
        let same = |f: &&Flight| {
            let call = &self.calls[f.call];
            !f.reported && f.endpoint == dispatch.endpoint && call.incarnation == incarnation
        };
        if self.flights.iter().filter(same).count() > SLOTS as usize {
            self.broken.insert(Rule::Slots);
        }
    }
}
