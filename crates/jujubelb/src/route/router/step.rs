//! Next steps of requests: claiming, sending, hedging and giving up.

use rand::Rng;

use crate::claim::CLAIM_TIMEOUT;
use crate::model::{Action, Cause, Code, Fact, Priority, ServiceName, Span, Subject, Time, Unit};

use super::super::balance::{BalancePolicy, Candidate};
use super::super::endpoint::Distance;
use super::super::service::RegionScope;
use super::super::share::SHARE_REFRESH_INTERVAL;
use super::super::{AttemptId, ClaimResult, Dispatch, Refusal, Step, Ticket};
use super::{Attempt, ClaimState, Fault, Router};

/// Retry delay of requests that are given up.
const RETRY_DELAY: Span = Span::from_millis(100);

/// Choice of an endpoint for a request.
enum Choice {
    /// Send to the endpoint with this index.
    Endpoint(usize),
    /// No usable endpoint has free capacity, or the link budget is used up.
    Wait,
    /// No endpoint is usable.
    Unavailable,
}

impl<B: BalancePolicy> Router<B> {
    /// Returns the next step of a request. An invalid ticket is given up with
    /// `Code::Internal`.
    pub fn next_step<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Step {
        self.refresh_shares_if_due(now);
        self.wakeups.swap_remove(&ticket);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return Step::GiveUp(Refusal {
                code: Code::Internal,
                retry_after: None,
                release_claim: false,
            });
        };
        if let Some(code) = request.final_code {
            return self.give_up(ticket, code);
        }
        if now >= request.deadline && !self.faults.contains(&Fault::IgnoreDeadline) {
            self.record_expired(now, ticket);
            return self.give_up(ticket, Code::ExpiredInQueue);
        }
        match request.claim {
            ClaimState::Needed => {
                let until = request.deadline.min(now + CLAIM_TIMEOUT);
                request.claim = ClaimState::Pending(until);
                Step::Claim { until }
            }
            ClaimState::Pending(until) if now < until => Step::Wait { until },
            ClaimState::Pending(_) => {
                self.claim_finished(now, ticket, ClaimResult::Unavailable);
                self.give_up(ticket, Code::ClaimUnavailable)
            }
            ClaimState::NotNeeded | ClaimState::Decided if request.queued => {
                self.try_send(now, ticket, rng)
            }
            ClaimState::NotNeeded | ClaimState::Decided => self.try_hedge(now, ticket, rng),
        }
    }

    /// Sends a queued request if it is first in the queue, or crosses regions.
    fn try_send<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Step {
        let request = &self.requests[&ticket];
        let deadline = request.deadline;
        if request.crosses_region
            && let Choice::Endpoint(index) = self.choose_remote(now, ticket, rng)
        {
            return self.send(now, ticket, index, false);
        }
        let request = &self.requests[&ticket];
        let service = &self.services[&request.service];
        if service.queue.head() != Some(ticket) {
            return Step::Wait { until: deadline };
        }
        if self.misses_deadline(now, ticket) {
            self.record_expired(now, ticket);
            return self.give_up(ticket, Code::DeadlineTooShort);
        }
        match self.choose_endpoint(now, ticket, rng) {
            Choice::Endpoint(index) => self.send(now, ticket, index, false),
            Choice::Wait => Step::Wait {
                until: deadline.min(now + SHARE_REFRESH_INTERVAL),
            },
            Choice::Unavailable => {
                self.record_refusal(now, ticket, Cause::NoEndpoint);
                self.give_up(ticket, Code::NoEndpoint)
            }
        }
    }

    /// Whether not even the fastest endpoint is expected to respond before the deadline.
    fn misses_deadline(&self, now: Time, ticket: Ticket) -> bool {
        let request = &self.requests[&ticket];
        let service = &self.services[&request.service];
        if service.latency.median(now).is_none() {
            return false;
        }
        let local = service.min_latency(now, RegionScope::Local, request.idempotent);
        let remote = service.min_latency(now, RegionScope::Remote, request.idempotent);
        let fastest = local.min(remote);
        fastest.is_finite() && now + Span::from_micros(fastest as u64) > request.deadline
    }

    /// Chooses an endpoint in the own region, or in another one if none is usable there.
    fn choose_endpoint<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Choice {
        let request = &self.requests[&ticket];
        let service = &self.services[&request.service];
        if self.has_fault(Fault::IgnoreLeaving)
            && let Some(index) = service
                .endpoints
                .values()
                .position(|e| e.out_of_service_cause().is_some())
        {
            return Choice::Endpoint(index);
        }
        if self.has_fault(Fault::IgnoreShare) && !service.endpoints.is_empty() {
            return Choice::Endpoint(0);
        }
        if !service.has_usable(now, RegionScope::Local, request.idempotent) {
            return self.choose_remote(now, ticket, rng);
        }
        if let Some(index) = service.endpoint_to_probe(now, RegionScope::Local, request.idempotent)
        {
            return Choice::Endpoint(index);
        }
        match self.balance(now, ticket, RegionScope::Local, rng) {
            Some(index) => Choice::Endpoint(index),
            None => Choice::Wait,
        }
    }

    /// Chooses an endpoint in another region, if the link budget allows it.
    fn choose_remote<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Choice {
        let request = &self.requests[&ticket];
        let (bytes, priority) = (request.bytes.0, request.priority);
        let service = &self.services[&request.service];
        if !service.has_usable(now, RegionScope::Remote, request.idempotent) {
            return Choice::Unavailable;
        }
        if !self.link.allows(now, bytes, priority) {
            self.record_link_delay(now, ticket);
            return Choice::Wait;
        }
        if let Some(index) = service.endpoint_to_probe(now, RegionScope::Remote, request.idempotent)
        {
            return Choice::Endpoint(index);
        }
        match self.balance(now, ticket, RegionScope::Remote, rng) {
            Some(index) => Choice::Endpoint(index),
            None => Choice::Wait,
        }
    }

    fn balance<R: Rng>(
        &mut self,
        now: Time,
        ticket: Ticket,
        scope: RegionScope,
        rng: &mut R,
    ) -> Option<usize> {
        let request = &self.requests[&ticket];
        let service = &mut self.services[&request.service];
        let candidates = service.candidates(now, scope, &request.failed_endpoints);
        let typical = service.typical_latency(now);
        let place = service.balance.pick(&candidates, typical, rng)?;
        candidates.get(place).map(|c| c.index)
    }

    /// Hedges a slow attempt at another endpoint, or waits for its outcome.
    fn try_hedge<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Step {
        let request = &self.requests[&ticket];
        let until = request.deadline;
        let service = &self.services[&request.service];
        let attempt = request.attempts.first().and_then(|a| self.attempts.get(a));
        let allowed = B::USES_SHARES
            && request.idempotent
            && request.priority == Priority::Urgent
            && !request.hedged
            && request.attempts.len() == 1;
        let (Some(attempt), Some(delay), true) = (attempt, service.latency.tail(), allowed) else {
            return Step::Wait { until };
        };
        let due = attempt.sent + delay;
        if now < due {
            return Step::Wait {
                until: due.min(until),
            };
        }
        let endpoint = attempt.endpoint.clone();
        match self.choose_hedge(now, ticket, &endpoint, rng) {
            Some(index) => self.send(now, ticket, index, true),
            None => Step::Wait {
                until: until.min(now + delay),
            },
        }
    }

    /// Chooses an endpoint for a hedge and takes the budget for it: in the own region,
    /// not that of the first attempt, and expected to respond before the deadline.
    fn choose_hedge<R: Rng>(
        &mut self,
        now: Time,
        ticket: Ticket,
        endpoint: &crate::model::EndpointName,
        rng: &mut R,
    ) -> Option<usize> {
        let request = &self.requests[&ticket];
        let deadline = request.deadline;
        let service = &mut self.services[&request.service];
        if !service.may_hedge() {
            return None;
        }
        let other = service.endpoints.get_index_of(endpoint);
        let mut candidates = service.candidates(now, RegionScope::Local, &request.failed_endpoints);
        let in_time = |c: &Candidate| now + Span::from_micros(c.latency as u64) < deadline;
        candidates.retain(|c| Some(c.index) != other && in_time(c));
        let typical = service.typical_latency(now);
        let place = service.balance.pick(&candidates, typical, rng)?;
        let index = candidates.get(place)?.index;
        service.budget.take_hedge().then_some(index)
    }

    fn send(&mut self, now: Time, ticket: Ticket, index: usize, hedge: bool) -> Step {
        let attempt = AttemptId(self.new_id());
        let request = &mut self.requests[&ticket];
        let name = request.service.clone();
        let service = &mut self.services[&name];
        service.queue.remove(request.priority, ticket);
        request.queued = false;
        request.hedged |= hedge;
        request.attempts.push(attempt);
        if !request.sent {
            request.sent = true;
            service.budget.add_request();
        }
        let (endpoint, state) = {
            let (name, state) = service
                .endpoints
                .get_index_mut(index)
                .expect("the index was computed in this call, which removes no endpoints");
            (name.clone(), state)
        };
        state.begin_attempt(now, attempt);
        state.health.probe_sent();
        let remote = state.distance == Distance::Remote;
        let dispatch = Dispatch {
            attempt,
            endpoint: endpoint.clone(),
            address: state.spec.address,
            deadline: request.deadline,
            hedge,
        };
        let record = Attempt {
            ticket,
            service: name.clone(),
            endpoint,
            sent: now,
            request_size: request.bytes,
            reserved: remote.then(|| self.link.reserve(now, request.bytes.0)),
        };
        self.attempts.insert(attempt, record);
        self.wake_head(&name);
        Step::Send(dispatch)
    }

    /// Ends a request without a response. The code is adjusted to whether the request
    /// may have run and whether its key was claimed.
    fn give_up(&mut self, ticket: Ticket, code: Code) -> Step {
        let Some(request) = self.remove_request(ticket) else {
            return Step::GiveUp(Refusal {
                code: Code::Internal,
                retry_after: None,
                release_claim: false,
            });
        };
        let unclaimed = matches!(request.claim, ClaimState::Needed | ClaimState::Pending(_));
        let sent = request.may_have_run();
        let code = match code {
            _ if self.has_fault(Fault::ReportSentAsNotRun) => Code::NoEndpoint,
            Code::ExpiredInQueue if sent && request.idempotent => Code::DeadlineExceeded,
            c if sent && request.idempotent && c.may_have_run() == crate::model::MayHaveRun::No => {
                Code::EndpointFailed
            }
            c if sent && !request.idempotent && c != Code::KeyInUse => Code::OutcomeUnknown,
            _ if unclaimed => Code::ClaimUnavailable,
            c => c,
        };
        let claim_started = matches!(request.claim, ClaimState::Pending(_) | ClaimState::Decided);
        Step::GiveUp(Refusal {
            code,
            retry_after: (code.http_status() == 503).then_some(RETRY_DELAY),
            release_claim: claim_started && !sent,
        })
    }

    fn record_expired(&mut self, now: Time, ticket: Ticket) {
        if self
            .requests
            .get(&ticket)
            .is_some_and(|r| !r.may_have_run())
        {
            self.record_refusal(now, ticket, Cause::Deadline);
        }
    }

    fn record_refusal(&mut self, now: Time, ticket: Ticket, cause: Cause) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let left = request.deadline.since(now).as_micros() as i64;
        let queue_len = self.queue_len(&request.service);
        let facts = || {
            vec![
                Fact::new("time-left", left, Unit::Micros),
                Fact::new("waiting", queue_len, Unit::Count),
            ]
        };
        let subject = Subject::Service(request.service.clone());
        self.decisions
            .record(now, subject, Action::Refuse, cause, facts);
    }

    /// Records a delay by the link budget, once per request.
    fn record_link_delay(&mut self, now: Time, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if std::mem::replace(&mut request.delay_recorded, true) {
            return;
        }
        let wait = self.link.wait(request.bytes.0, request.priority);
        let facts = || {
            let bytes = Fact::new("request-size", request.bytes.0 as i64, Unit::Bytes);
            let wait = wait.map(|w| Fact::new("wait", w.as_micros() as i64, Unit::Micros));
            [bytes].into_iter().chain(wait).collect()
        };
        let subject = Subject::Service(request.service.clone());
        self.decisions
            .record(now, subject, Action::Delay, Cause::LinkBudget, facts);
    }

    fn queue_len(&self, service: &ServiceName) -> i64 {
        self.services.get(service).map_or(0, |s| s.queue.len()) as i64
    }
}
