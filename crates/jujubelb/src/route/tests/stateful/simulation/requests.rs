//! Callers' requests and their steps at the hosts.

use super::*;

impl Simulation {
    pub(super) fn call(&mut self, operation: usize, host: usize) {
        let info = self.operations[operation].info.clone();
        let Some(process) = &mut self.hosts[host] else {
            return;
        };
        match process.router.admit(self.now, info.clone()) {
            Ok(ticket) => {
                if process.draining {
                    self.violations.insert(Invariant::Draining);
                }
                self.calls.push(CallerRequest {
                    operation,
                    host,
                    incarnation: process.incarnation,
                    ticket,
                    open: true,
                    claimant: None,
                    deadline: self.now + info.deadline.unwrap_or(Span::from_secs(1)),
                    runs: 0,
                    reported_not_run: false,
                });
            }
            Err(refusal) => {
                let runs = self.operations[operation].runs;
                if refusal.code.may_have_run() == MayHaveRun::No && info.key.is_some() && runs > 0 {
                    // The runs of an idempotent request may be those of earlier tries, about
                    // which the refusal says nothing.
                    if !info.idempotent {
                        self.violations.insert(Invariant::NotRun);
                    }
                }
                self.observe(format!("code {}", refusal.code.number()));
            }
        }
    }

    /// Sends an operation again as callers do: within the lifetime of the key, and
    /// without a key only if it is idempotent.
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
        if repeatable && self.now.since(known.started) < MAX_RETRY_AGE {
            self.observe("retry of caller");
            self.call(operation, host);
        }
    }

    pub(super) fn hang_up(&mut self, call: usize) {
        if !self.is_live(call) {
            return;
        }
        let (host, ticket) = (self.calls[call].host, self.calls[call].ticket);
        self.calls[call].open = false;
        self.observe("hang-up");
        let release = self.hosts[host]
            .as_mut()
            .is_some_and(|p| p.router.cancel_request(self.now, ticket));
        if release {
            self.release(call);
        }
    }

    /// Whether the request is open and its process still runs.
    pub(super) fn is_live(&self, call: usize) -> bool {
        let call = &self.calls[call];
        let process = self.hosts[call.host].as_ref();
        call.open && process.is_some_and(|p| p.incarnation == call.incarnation)
    }

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
            Step::Claim { until } => self.send_claims(call, until),
            Step::Send(dispatch) => self.send(call, dispatch),
            Step::Wait { .. } => {}
            Step::GiveUp(refusal) => {
                self.calls[call].open = false;
                self.observe(format!("code {}", refusal.code.number()));
                self.check_code(call, refusal.code);
                if refusal.release_claim {
                    self.release(call);
                }
            }
        }
    }

    pub(super) fn check_code(&mut self, call: usize, code: Code) {
        let state = &mut self.calls[call];
        state.reported_not_run = code.may_have_run() == MayHaveRun::No;
        let operation = &self.operations[state.operation];
        let keyed_once = !operation.info.idempotent && operation.info.key.is_some();
        let ran = if keyed_once {
            operation.runs
        } else {
            state.runs
        };
        let mut attempts = self
            .attempts
            .iter()
            .filter(|a| a.call == call && !a.reported);
        if state.reported_not_run && (ran > 0 || attempts.next().is_some()) {
            self.violations.insert(Invariant::NotRun);
        }
    }

    pub(super) fn send(&mut self, call: usize, dispatch: Dispatch) {
        let host = self.calls[call].host;
        if self.now >= self.calls[call].deadline {
            self.violations.insert(Invariant::Deadline);
        }
        let Some(process) = &self.hosts[host] else {
            return;
        };
        let signals = [&process.declared, &process.listed, &process.announced];
        if signals.iter().any(|s| s.contains(&dispatch.endpoint)) {
            self.violations.insert(Invariant::Leaving);
        }
        let incarnation = process.incarnation;
        if dispatch.hedge {
            self.observe("hedge");
        }
        self.attempts.push(AttemptState {
            call,
            attempt: dispatch.attempt,
            endpoint: dispatch.endpoint.clone(),
            deadline: dispatch.deadline,
            delivered: false,
            running: false,
            reported: false,
        });
        let same = |a: &&AttemptState| {
            let call = &self.calls[a.call];
            !a.reported && a.endpoint == dispatch.endpoint && call.incarnation == incarnation
        };
        if self.attempts.iter().filter(same).count() > SLOTS as usize {
            self.violations.insert(Invariant::Slots);
        }
    }
}
