//! Outcomes of attempts: retries, endpoint health and the end of requests.

use crate::model::{Action, Cause, Code, Fact, Subject, Time, Unit};

use super::super::balance::BalancePolicy;
use super::super::health::HealthChange;
use super::super::{AttemptId, AttemptOutcome, Delivery, Ticket};
use super::{Attempt, ClaimState, Fault, Request, Router};

/// Lowest HTTP status that counts as a failure of the endpoint.
const MIN_FAILURE_STATUS: u16 = 500;

impl<B: BalancePolicy> Router<B> {
    /// Reports the outcome of an attempt. Has to be called once for each attempt,
    /// including those of requests that were given up.
    pub fn attempt_finished(
        &mut self,
        now: Time,
        attempt: AttemptId,
        outcome: AttemptOutcome,
    ) -> Delivery {
        self.refresh_shares_if_due(now);
        let Some(record) = self.attempts.swap_remove(&attempt) else {
            return Delivery::Discard;
        };
        self.record_outcome(now, attempt, &record, outcome);
        let ticket = record.ticket;
        let late = match self.has_fault(Fault::DeliverAbandoned) {
            true => Delivery::Deliver(ticket),
            false => Delivery::Discard,
        };
        let delivery = match self.requests.get_mut(&ticket) {
            None => late,
            Some(request) => {
                request.attempts.retain(|a| *a != attempt);
                if matches!(outcome, AttemptOutcome::Answered { .. }) {
                    self.remove_request(ticket);
                    Delivery::Deliver(ticket)
                } else {
                    self.retry_or_fail(now, ticket, &record, outcome);
                    Delivery::Pending(ticket)
                }
            }
        };
        self.wake_head(&record.service);
        delivery
    }

    /// Ends the request of a caller that disconnected. Returns whether its claim has to
    /// be released, because the request certainly did not run.
    pub fn cancel_request(&mut self, now: Time, ticket: Ticket) -> bool {
        self.refresh_shares_if_due(now);
        let Some(request) = self.remove_request(ticket) else {
            return false;
        };
        self.wake_head(&request.service);
        let claim_started = matches!(request.claim, ClaimState::Pending(_) | ClaimState::Decided);
        claim_started && !request.may_have_run()
    }

    /// Queues a request again after a failed attempt, or sets its final code.
    fn retry_or_fail(
        &mut self,
        now: Time,
        ticket: Ticket,
        record: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let unsafe_retry = self.has_fault(Fault::RetryNonIdempotent);
        let request = &mut self.requests[&ticket];
        let service = &mut self.services[&record.service];
        request.maybe_ran |= !outcome.not_run();
        if !request.failed_endpoints.contains(&record.endpoint) {
            request.failed_endpoints.push(record.endpoint.clone());
        }
        if !request.attempts.is_empty() || request.final_code.is_some() {
            return;
        }
        let repeatable = request.idempotent || !request.maybe_ran || unsafe_retry;
        if repeatable && now < request.deadline && service.budget.take_retry() {
            request.queued = true;
            service.queue.insert(request.priority, ticket);
            return;
        }
        let code = match outcome {
            AttemptOutcome::TimedOut if request.idempotent => Code::DeadlineExceeded,
            _ if now >= request.deadline => Code::ExpiredInQueue,
            _ if !request.idempotent && request.maybe_ran => Code::OutcomeUnknown,
            _ if request.maybe_ran => Code::EndpointFailed,
            _ => Code::BudgetExhausted,
        };
        request.final_code = Some(code);
        if code == Code::BudgetExhausted || (repeatable && now < request.deadline) {
            let subject = Subject::Service(record.service.clone());
            let number = i64::from(code.number());
            let facts = || vec![Fact::new("code", number, Unit::Count)];
            self.decisions
                .record(now, subject, Action::Refuse, Cause::RetryBudget, facts);
        }
    }

    /// Updates the endpoint's state and the link budget by the outcome of an attempt.
    fn record_outcome(
        &mut self,
        now: Time,
        attempt: AttemptId,
        record: &Attempt,
        outcome: AttemptOutcome,
    ) {
        let response_size = match outcome {
            AttemptOutcome::Answered { bytes, .. } => bytes.0,
            _ => 0,
        };
        if let Some(reserved) = record.reserved {
            self.link
                .reconcile(reserved, record.request_size.0, response_size);
        }
        let announced = matches!(
            outcome,
            AttemptOutcome::Declined | AttemptOutcome::Answered { leaving: true, .. }
        );
        self.update_endpoint(now, &record.service, &record.endpoint, |e| {
            e.end_attempt(now, attempt);
            if announced {
                e.announced_leaving = Some(now);
            }
        });
        let change = self.update_health(now, record, outcome);
        self.record_health_change(now, record, change);
        self.drop_if_removed(record);
    }

    fn update_health(
        &mut self,
        now: Time,
        record: &Attempt,
        outcome: AttemptOutcome,
    ) -> HealthChange {
        let service = &mut self.services[&record.service];
        let may_eject = service.may_eject();
        let latency = now.since(record.sent);
        let Some(endpoint) = service.endpoints.get_mut(&record.endpoint) else {
            return HealthChange::None;
        };
        match outcome {
            AttemptOutcome::Answered { status, .. } => {
                endpoint.latency.add(now, latency);
                endpoint.load_meter.answered(latency);
                service.latency.add(now, latency);
                if status >= MIN_FAILURE_STATUS {
                    endpoint.health.failed(now, false, may_eject)
                } else {
                    endpoint.health.succeeded()
                }
            }
            // Refused connections can't be caused by overload, so the limit on ejections
            // does not apply.
            AttemptOutcome::Unconnected => endpoint.health.failed(now, true, true),
            AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                endpoint.health.failed(now, false, may_eject)
            }
            AttemptOutcome::Declined => {
                endpoint.health.probe_lost();
                HealthChange::None
            }
        }
    }

    fn record_health_change(&mut self, now: Time, record: &Attempt, change: HealthChange) {
        let (action, cause) = match change {
            HealthChange::None => return,
            HealthChange::Ejected => (Action::Remove, Cause::EndpointFailing),
            HealthChange::Recovered => (Action::Restore, Cause::EndpointRecovered),
        };
        let service = &self.services[&record.service];
        let failures = service.endpoints[&record.endpoint].health.failures();
        let facts = || vec![Fact::new("failures", i64::from(failures), Unit::Count)];
        let subject = Subject::Endpoint(record.endpoint.clone());
        self.decisions.record(now, subject, action, cause, facts);
    }

    fn drop_if_removed(&mut self, record: &Attempt) {
        let service = &self.services[&record.service];
        let endpoint = service.endpoints.get(&record.endpoint);
        if endpoint.is_some_and(|e| e.removed && e.inflight() == 0) {
            self.drop_removed();
        }
    }

    /// Removes a request from the queue and all counts. Its attempts stay until they end.
    pub(super) fn remove_request(&mut self, ticket: Ticket) -> Option<Request> {
        let request = self.requests.swap_remove(&ticket)?;
        self.wakeups.swap_remove(&ticket);
        if let Some(service) = self.services.get_mut(&request.service) {
            service.queue.remove(request.priority, ticket);
            if matches!(request.claim, ClaimState::Needed | ClaimState::Pending(_)) {
                service.claiming -= 1;
            }
        }
        self.wake_head(&request.service);
        Some(request)
    }
}
