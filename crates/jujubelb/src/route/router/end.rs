//! Ends of attempts and of requests.

use crate::model::{Action, Cause, Code, Fact, Subject, Time, Unit};

use super::super::balance::BalancePolicy;
use super::super::health::Change;
use super::super::{AttemptId, AttemptOutcome, Delivery, Ticket};
use super::{Attempt, Claim, Fault, Request, Router};

/// Statuses from here on count as failures of the endpoint.
const FAILING: u16 = 500;

impl<B: BalancePolicy> Router<B> {
    /// An attempt ended. Has to be called once for each attempt, also for those
    /// of requests that were given up.
    pub fn attempt_finished(
        &mut self,
        now: Time,
        attempt: AttemptId,
        end: AttemptOutcome,
    ) -> Delivery {
        self.refresh_if_due(now);
        let Some(record) = self.attempts.swap_remove(&attempt) else {
            return Delivery::Discard;
        };
        self.learn(now, attempt, &record, end);
        let ticket = record.ticket;
        let late = match self.has_fault(Fault::DeliverLate) {
            true => Delivery::Deliver(ticket),
            false => Delivery::Discard,
        };
        let delivery = match self.requests.get_mut(&ticket) {
            None => late,
            Some(request) => {
                request.attempts.retain(|a| *a != attempt);
                if matches!(end, AttemptOutcome::Answered { .. }) {
                    self.remove_request(ticket);
                    Delivery::Deliver(ticket)
                } else {
                    self.after_failure(now, ticket, &record, end);
                    Delivery::Pending(ticket)
                }
            }
        };
        self.wake_head(&record.service);
        delivery
    }

    /// The caller hung up. Returns whether a claim has to be released, because
    /// the request was certainly not sent.
    pub fn drop_request(&mut self, now: Time, ticket: Ticket) -> bool {
        self.refresh_if_due(now);
        let Some(request) = self.remove_request(ticket) else {
            return false;
        };
        self.wake_head(&request.service);
        let asked = matches!(request.claim, Claim::Asked(_) | Claim::Decided);
        asked && !request.may_have_run()
    }

    /// Decides whether a request with a failed attempt is tried again.
    fn after_failure(&mut self, now: Time, ticket: Ticket, record: &Attempt, end: AttemptOutcome) {
        let unsafe_retry = self.has_fault(Fault::RetryUnsafe);
        let request = &mut self.requests[&ticket];
        let service = &mut self.services[&record.service];
        request.ran |= !end.not_run();
        if !request.tried.contains(&record.endpoint) {
            request.tried.push(record.endpoint.clone());
        }
        if !request.attempts.is_empty() || request.failed.is_some() {
            return;
        }
        let repeatable = request.idempotent || !request.ran || unsafe_retry;
        if repeatable && now < request.deadline && service.budget.take_retry() {
            request.queued = true;
            service.queue.insert(request.priority, ticket);
            return;
        }
        let code = match end {
            AttemptOutcome::TimedOut if request.idempotent => Code::DeadlineExceeded,
            _ if now >= request.deadline => Code::ExpiredInQueue,
            _ if !request.idempotent && request.ran => Code::OutcomeUnknown,
            _ if request.ran => Code::EndpointFailed,
            _ => Code::BudgetExhausted,
        };
        request.failed = Some(code);
        if code == Code::BudgetExhausted || (repeatable && now < request.deadline) {
            let subject = Subject::Service(record.service.clone());
            let number = i64::from(code.number());
            let facts = || vec![Fact::new("code", number, Unit::Count)];
            self.notes
                .add(now, subject, Action::Refuse, Cause::RetryBudget, facts);
        }
    }

    /// Takes over what the end of an attempt tells about its endpoint.
    fn learn(&mut self, now: Time, attempt: AttemptId, record: &Attempt, end: AttemptOutcome) {
        let answer = match end {
            AttemptOutcome::Answered { bytes, .. } => bytes.0,
            _ => 0,
        };
        if let Some(reserved) = record.reserved {
            self.link.settle(reserved, record.request.0, answer);
        }
        let said = matches!(
            end,
            AttemptOutcome::Declined | AttemptOutcome::Answered { leaving: true, .. }
        );
        self.update(now, &record.service, &record.endpoint, |e| {
            e.end(now, attempt);
            if said {
                e.said = Some(now);
            }
        });
        let change = self.learn_health(now, record, end);
        self.note_health(now, record, change);
        self.forget_if_removed(record);
    }

    fn learn_health(&mut self, now: Time, record: &Attempt, end: AttemptOutcome) -> Change {
        let service = &mut self.services[&record.service];
        let able = service.may_eject();
        let latency = now.since(record.sent);
        let Some(endpoint) = service.endpoints.get_mut(&record.endpoint) else {
            return Change::None;
        };
        match end {
            AttemptOutcome::Answered { status, .. } => {
                endpoint.latency.add(now, latency);
                endpoint.meter.answered(latency);
                service.latency.add(now, latency);
                if status >= FAILING {
                    endpoint.health.failed(now, false, able)
                } else {
                    endpoint.health.succeeded()
                }
            }
            // Nothing accepts connections there, hence overload can't explain it.
            AttemptOutcome::Unconnected => endpoint.health.failed(now, true, true),
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                endpoint.health.failed(now, false, able)
            }
            AttemptOutcome::Declined => {
                endpoint.health.probe_lost();
                Change::None
            }
        }
    }

    fn note_health(&mut self, now: Time, record: &Attempt, change: Change) {
        let (action, cause) = match change {
            Change::None => return,
            Change::Ejected => (Action::Remove, Cause::EndpointFailing),
            Change::Recovered => (Action::Restore, Cause::EndpointRecovered),
        };
        let service = &self.services[&record.service];
        let failures = service.endpoints[&record.endpoint].health.failures();
        let facts = || vec![Fact::new("failures", i64::from(failures), Unit::Count)];
        let subject = Subject::Endpoint(record.endpoint.clone());
        self.notes.add(now, subject, action, cause, facts);
    }

    fn forget_if_removed(&mut self, record: &Attempt) {
        let service = &self.services[&record.service];
        let endpoint = service.endpoints.get(&record.endpoint);
        if endpoint.is_some_and(|e| e.removed && e.inflight() == 0) {
            self.forget_removed();
        }
    }

    /// Removes a request from all places that know it. Its attempts stay until they end.
    pub(super) fn remove_request(&mut self, ticket: Ticket) -> Option<Request> {
        let request = self.requests.swap_remove(&ticket)?;
        self.wakes.swap_remove(&ticket);
        if let Some(service) = self.services.get_mut(&request.service) {
            service.queue.remove(request.priority, ticket);
            if matches!(request.claim, Claim::Needed | Claim::Asked(_)) {
                service.claiming -= 1;
            }
        }
        self.wake_head(&request.service);
        Some(request)
    }
}
