//! The next step of a request.

use rand::Rng;

use crate::claim::CLAIM_TIMEOUT;
use crate::model::{Action, Cause, Code, Fact, Priority, ServiceName, Span, Subject, Time, Unit};

use super::super::balance::{BalancePolicy, Candidate};
use super::super::endpoint::Distance;
use super::super::service::Reach;
use super::super::share::REFRESH;
use super::super::{AttemptId, Claimed, Dispatch, Refusal, Step, Ticket};
use super::{Attempt, Claim, Fault, Router};

/// When to retry after a request was given up.
const RETRY: Span = Span::from_millis(100);

/// Choice for the request whose turn it is.
enum Choice {
    Endpoint(usize),
    Wait,
    Nothing,
}

impl<B: BalancePolicy> Router<B> {
    /// The next step of a request. A ticket that is no longer valid is given up as internal error.
    pub fn next_step<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Step {
        self.refresh_if_due(now);
        self.wakes.swap_remove(&ticket);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return Step::GiveUp(Refusal {
                code: Code::Internal,
                retry: None,
                release: false,
            });
        };
        if let Some(code) = request.failed {
            return self.give_up(ticket, code);
        }
        if now >= request.deadline && !self.faults.contains(&Fault::IgnoreDeadline) {
            self.note_expired(now, ticket);
            return self.give_up(ticket, Code::ExpiredInQueue);
        }
        match request.claim {
            Claim::Needed => {
                let until = request.deadline.min(now + CLAIM_TIMEOUT);
                request.claim = Claim::Asked(until);
                Step::Claim { until }
            }
            Claim::Asked(until) if now < until => Step::Wait { until },
            Claim::Asked(_) => {
                self.claimed(now, ticket, Claimed::Unavailable);
                self.give_up(ticket, Code::ClaimUnavailable)
            }
            Claim::Unneeded | Claim::Decided if request.queued => self.try_send(now, ticket, rng),
            Claim::Unneeded | Claim::Decided => self.try_hedge(now, ticket, rng),
        }
    }

    /// Sends a waiting request if it is its turn.
    fn try_send<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Step {
        let request = &self.requests[&ticket];
        let deadline = request.deadline;
        if request.crossing
            && let Choice::Endpoint(index) = self.choose_remote(now, ticket, rng)
        {
            return self.send(now, ticket, index, false);
        }
        let request = &self.requests[&ticket];
        let service = &self.services[&request.service];
        if service.queue.head() != Some(ticket) {
            return Step::Wait { until: deadline };
        }
        if self.is_too_late(now, ticket) {
            self.note_expired(now, ticket);
            return self.give_up(ticket, Code::DeadlineTooShort);
        }
        match self.choose(now, ticket, rng) {
            Choice::Endpoint(index) => self.send(now, ticket, index, false),
            Choice::Wait => Step::Wait {
                until: deadline.min(now + REFRESH),
            },
            Choice::Nothing => {
                self.note_refusal(now, ticket, Cause::NoEndpoint);
                self.give_up(ticket, Code::NoEndpoint)
            }
        }
    }

    /// Whether even the fastest endpoint is not expected to answer in time.
    fn is_too_late(&self, now: Time, ticket: Ticket) -> bool {
        let request = &self.requests[&ticket];
        let service = &self.services[&request.service];
        if service.latency.median(now).is_none() {
            return false;
        }
        let home = service.fastest(now, Reach::Home, request.idempotent);
        let remote = service.fastest(now, Reach::Remote, request.idempotent);
        let fastest = home.min(remote);
        fastest.is_finite() && now + Span::from_micros(fastest as u64) > request.deadline
    }

    /// Chooses an endpoint at home, or elsewhere if there is none at home.
    fn choose<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Choice {
        let request = &self.requests[&ticket];
        let service = &self.services[&request.service];
        if self.has_fault(Fault::IgnoreLeaving)
            && let Some(index) = service
                .endpoints
                .values()
                .position(|e| e.out_of_service().is_some())
        {
            return Choice::Endpoint(index);
        }
        if self.has_fault(Fault::IgnoreShare) && !service.endpoints.is_empty() {
            return Choice::Endpoint(0);
        }
        if !service.has_usable(now, Reach::Home, request.idempotent) {
            return self.choose_remote(now, ticket, rng);
        }
        if let Some(index) = service.probe(now, Reach::Home, request.idempotent) {
            return Choice::Endpoint(index);
        }
        match self.balance(now, ticket, Reach::Home, rng) {
            Some(index) => Choice::Endpoint(index),
            None => Choice::Wait,
        }
    }

    /// Chooses an endpoint in another region, if the link has room.
    fn choose_remote<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Choice {
        let request = &self.requests[&ticket];
        let (bytes, priority) = (request.bytes.0, request.priority);
        let service = &self.services[&request.service];
        if !service.has_usable(now, Reach::Remote, request.idempotent) {
            return Choice::Nothing;
        }
        if !self.link.allows(now, bytes, priority) {
            self.note_link(now, ticket);
            return Choice::Wait;
        }
        if let Some(index) = service.probe(now, Reach::Remote, request.idempotent) {
            return Choice::Endpoint(index);
        }
        match self.balance(now, ticket, Reach::Remote, rng) {
            Some(index) => Choice::Endpoint(index),
            None => Choice::Wait,
        }
    }

    fn balance<R: Rng>(
        &mut self,
        now: Time,
        ticket: Ticket,
        reach: Reach,
        rng: &mut R,
    ) -> Option<usize> {
        let request = &self.requests[&ticket];
        let service = &mut self.services[&request.service];
        let candidates = service.candidates(now, reach, &request.tried);
        let typical = service.typical(now);
        let place = service.balance.pick(&candidates, typical, rng)?;
        candidates.get(place).map(|c| c.index)
    }

    /// Repeats a slow attempt elsewhere, or waits for its end.
    fn try_hedge<R: Rng>(&mut self, now: Time, ticket: Ticket, rng: &mut R) -> Step {
        let request = &self.requests[&ticket];
        let until = request.deadline;
        let service = &self.services[&request.service];
        let attempt = request.attempts.first().and_then(|a| self.attempts.get(a));
        let allowed = B::MANAGED
            && request.idempotent
            && request.priority == Priority::Urgent
            && !request.hedged
            && request.attempts.len() == 1;
        let (Some(attempt), Some(delay), true) = (attempt, service.latency.late(), allowed) else {
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

    /// An endpoint for a hedge: at home, other than that of the attempt, and
    /// only if no request waits.
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
        let mut candidates = service.candidates(now, Reach::Home, &request.tried);
        let in_time = |c: &Candidate| now + Span::from_micros(c.latency as u64) < deadline;
        candidates.retain(|c| Some(c.index) != other && in_time(c));
        let typical = service.typical(now);
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
            service.budget.earn();
        }
        let (endpoint, state) = {
            let (name, state) = service.endpoints.get_index_mut(index).expect(
                "the index was taken from the endpoints in this call, which none was removed from",
            );
            (name.clone(), state)
        };
        state.begin(now, attempt);
        state.health.probe_sent();
        let remote = state.distance == Distance::Remote;
        let dispatch = Dispatch {
            attempt,
            endpoint: endpoint.clone(),
            address: state.spec.address,
            until: request.deadline,
            hedge,
        };
        let record = Attempt {
            ticket,
            service: name.clone(),
            endpoint,
            sent: now,
            request: request.bytes,
            reserved: remote.then(|| self.link.reserve(now, request.bytes.0)),
        };
        self.attempts.insert(attempt, record);
        self.wake_head(&name);
        Step::Send(dispatch)
    }

    /// Ends a request without an answer. The code is corrected by what is known
    /// about its attempts and its claim.
    fn give_up(&mut self, ticket: Ticket, code: Code) -> Step {
        let Some(request) = self.remove_request(ticket) else {
            return Step::GiveUp(Refusal {
                code: Code::Internal,
                retry: None,
                release: false,
            });
        };
        let unclaimed = matches!(request.claim, Claim::Needed | Claim::Asked(_));
        let sent = request.may_have_run();
        let code = match code {
            _ if self.has_fault(Fault::DenySent) => Code::NoEndpoint,
            Code::ExpiredInQueue if sent && request.idempotent => Code::DeadlineExceeded,
            c if sent && request.idempotent && c.may_have_run() == crate::model::MayHaveRun::No => {
                Code::EndpointFailed
            }
            c if sent && !request.idempotent && c != Code::KeyInUse => Code::OutcomeUnknown,
            _ if unclaimed => Code::ClaimUnavailable,
            c => c,
        };
        let asked = matches!(request.claim, Claim::Asked(_) | Claim::Decided);
        Step::GiveUp(Refusal {
            code,
            retry: (code.http_status() == 503).then_some(RETRY),
            release: asked && !sent,
        })
    }

    fn note_expired(&mut self, now: Time, ticket: Ticket) {
        if self
            .requests
            .get(&ticket)
            .is_some_and(|r| !r.may_have_run())
        {
            self.note_refusal(now, ticket, Cause::Deadline);
        }
    }

    fn note_refusal(&mut self, now: Time, ticket: Ticket, cause: Cause) {
        let Some(request) = self.requests.get(&ticket) else {
            return;
        };
        let left = request.deadline.since(now).as_micros() as i64;
        let waiting = self.waiting(&request.service);
        let facts = || {
            vec![
                Fact::new("time-left", left, Unit::Micros),
                Fact::new("waiting", waiting, Unit::Count),
            ]
        };
        let subject = Subject::Service(request.service.clone());
        self.notes.add(now, subject, Action::Refuse, cause, facts);
    }

    /// Notes a delay, once for each request.
    fn note_link(&mut self, now: Time, ticket: Ticket) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        if std::mem::replace(&mut request.delayed, true) {
            return;
        }
        let wait = self.link.wait(request.bytes.0, request.priority);
        let facts = || {
            let bytes = Fact::new("request-size", request.bytes.0 as i64, Unit::Bytes);
            let wait = wait.map(|w| Fact::new("wait", w.as_micros() as i64, Unit::Micros));
            [bytes].into_iter().chain(wait).collect()
        };
        let subject = Subject::Service(request.service.clone());
        self.notes
            .add(now, subject, Action::Delay, Cause::LinkBudget, facts);
    }

    fn waiting(&self, service: &ServiceName) -> i64 {
        self.services.get(service).map_or(0, |s| s.queue.len()) as i64
    }
}
