//! Admission.

use crate::model::{Action, Cause, Code, Fact, Priority, ServiceName, Span, Subject, Time, Unit};

use super::super::balance::BalancePolicy;
use super::super::service::Reach;
use super::super::{Claimed, Refusal, RequestInfo, Ticket};
use super::{Claim, Fault, Request, Router};

/// Part of a queue that batch requests may fill; the rest is for urgent ones.
const BATCH_PART: f64 = 0.5;

/// When to retry after a refusal for which there is no better estimate.
const RETRY: Span = Span::from_millis(100);

/// When to retry at another entry host after this one began to stop.
const RETRY_DRAINING: Span = Span::from_millis(1);

/// Why a request is not admitted.
struct Reason {
    code: Code,
    cause: Cause,
    retry: Option<Span>,
    facts: Vec<Fact>,
}

impl<B: BalancePolicy> Router<B> {
    /// Admits a request, or refuses it as not run.
    pub fn admit(&mut self, now: Time, info: RequestInfo) -> Result<Ticket, Refusal> {
        self.refresh_if_due(now);
        let crossing = match self.check(now, &info) {
            Ok(crossing) => crossing,
            Err(reason) => return Err(self.refuse(now, &info, reason)),
        };
        let ticket = Ticket(self.new_id());
        let needs_claim = info.needs_claim() && !self.has_fault(Fault::SkipClaim);
        let service = &mut self.services[&info.service];
        let deadline = now + info.deadline.unwrap_or(service.deadline);
        if needs_claim {
            service.claiming += 1;
        } else {
            service.queue.insert(info.priority, ticket);
        }
        let request = Request {
            service: info.service.clone(),
            priority: info.priority,
            idempotent: info.idempotent,
            bytes: info.bytes,
            deadline,
            claim: if needs_claim {
                Claim::Needed
            } else {
                Claim::Unneeded
            },
            queued: !needs_claim,
            crossing,
            attempts: Vec::new(),
            ran: false,
            sent: false,
            hedged: false,
            delayed: false,
            tried: Vec::new(),
            failed: None,
        };
        self.requests.insert(ticket, request);
        self.make_room(now, &info.service);
        Ok(ticket)
    }

    /// Reports the result of claiming the key of a request.
    pub fn claimed(&mut self, now: Time, ticket: Ticket, result: Claimed) {
        self.refresh_if_due(now);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let Claim::Asked(until) = request.claim else {
            return;
        };
        // A retry of the caller may have come too close to the end of the claim.
        let result = match result {
            Claimed::Granted if now >= until => Claimed::Unavailable,
            other => other,
        };
        request.claim = Claim::Decided;
        let service = &mut self.services[&request.service];
        service.claiming -= 1;
        let code = match result {
            Claimed::Granted => {
                request.queued = true;
                service.queue.insert(request.priority, ticket);
                return;
            }
            Claimed::Held => Code::KeyInUse,
            Claimed::Unavailable => Code::ClaimUnavailable,
        };
        request.failed = Some(code);
        let subject = Subject::Service(request.service.clone());
        let facts = || vec![Fact::new("code", i64::from(code.number()), Unit::Count)];
        self.notes
            .add(now, subject, Action::Refuse, Cause::ClaimHeld, facts);
    }

    /// Whether a request may come in, and whether it has to cross to another region.
    fn check(&mut self, now: Time, info: &RequestInfo) -> Result<bool, Reason> {
        if self.draining && !self.has_fault(Fault::IgnoreDrain) {
            return Err(Reason {
                code: Code::Draining,
                cause: Cause::PlannedStop,
                retry: Some(RETRY_DRAINING),
                facts: Vec::new(),
            });
        }
        if self.services.get(&info.service).is_none_or(|s| s.removed) {
            return Err(Reason {
                code: Code::NoRoute,
                cause: Cause::ConfigChange,
                retry: None,
                facts: Vec::new(),
            });
        }
        if let Some(caller) = &info.caller
            && !self.rates.take(now, caller)
        {
            return Err(Reason {
                code: Code::LimitExceeded,
                cause: Cause::LimitExceeded,
                retry: Some(Span::from_secs(1)),
                facts: Vec::new(),
            });
        }
        self.check_endpoints(now, info)?;
        self.check_queue(info)?;
        self.check_deadline(now, info)
    }

    fn check_endpoints(&self, now: Time, info: &RequestInfo) -> Result<(), Reason> {
        let service = &self.services[&info.service];
        let able = |reach| service.has_usable(now, reach, info.idempotent);
        if able(Reach::Home) || able(Reach::Remote) || self.has_fault(Fault::IgnoreLeaving) {
            return Ok(());
        }
        let due = service.probe_due().map(|at| at.since(now));
        let count = service.endpoints.len() as i64;
        Err(Reason {
            code: Code::NoEndpoint,
            cause: Cause::NoEndpoint,
            retry: Some(due.unwrap_or(Span::from_secs(1))),
            facts: vec![Fact::new("endpoints", count, Unit::Count)],
        })
    }

    fn check_queue(&self, info: &RequestInfo) -> Result<(), Reason> {
        let service = &self.services[&info.service];
        let waiting = service.queue.len() + service.claiming;
        let batch = service.queue.batch();
        let fits = match info.priority {
            // An urgent request takes the place of a batch one, see `make_room`.
            Priority::Urgent => waiting < service.limit || batch > 0,
            Priority::Batch => {
                waiting < service.limit && (batch as f64) < service.limit as f64 * BATCH_PART
            }
        };
        if fits {
            return Ok(());
        }
        Err(Reason {
            code: Code::QueueFull,
            cause: Cause::QueueFull,
            retry: Some(RETRY),
            facts: vec![
                Fact::new("waiting", waiting as i64, Unit::Count),
                Fact::new("limit", service.limit as i64, Unit::Count),
            ],
        })
    }

    /// Compares the expected end with the deadline, at home and in other regions.
    fn check_deadline(&mut self, now: Time, info: &RequestInfo) -> Result<bool, Reason> {
        let service = &self.services[&info.service];
        let allowed = info.deadline.unwrap_or(service.deadline);
        let home = self.expected(now, &info.service, info.priority, Reach::Home);
        if home <= allowed {
            return Ok(false);
        }
        let remote = self.expected(now, &info.service, info.priority, Reach::Remote);
        let home_able = service.has_usable(now, Reach::Home, info.idempotent);
        // Batch requests cross only if there is nothing at home at all.
        let may_cross = info.priority == Priority::Urgent || !home_able;
        let mut cause = Cause::Deadline;
        if remote <= allowed && may_cross {
            let ahead = service.queue.ahead(info.priority) as u64;
            if self.link.allows(now, info.bytes.0, info.priority) {
                return Ok(true);
            }
            // Without endpoints at home all wait for the link in turn.
            let wait = self.link.wait(info.bytes.0, info.priority);
            let wait = wait.map(|w| w.scale_up(ahead + 1, 1));
            if !home_able && wait.is_some_and(|w| w + remote <= allowed) {
                return Ok(false);
            }
            cause = Cause::LinkBudget;
        }
        let expected = home.min(remote).as_micros() as i64;
        Err(Reason {
            code: Code::DeadlineTooShort,
            cause,
            retry: Some(RETRY),
            facts: vec![
                Fact::new("expected", expected, Unit::Micros),
                Fact::new("deadline", allowed.as_micros() as i64, Unit::Micros),
            ],
        })
    }

    /// Expected time until the end of a new request.
    fn expected(&self, now: Time, name: &ServiceName, priority: Priority, reach: Reach) -> Span {
        let service = &self.services[name];
        let fastest = service.fastest(now, reach, true);
        // Before the first answer nothing is known about the service.
        let median = match service.latency.median(now) {
            Some(_) => fastest,
            None if fastest.is_finite() => 0.0,
            None => f64::INFINITY,
        };
        let total = service.wait(now, reach, priority) + median;
        Span::from_micros(total as u64)
    }

    /// Refuses the last batch request if an urgent one took its place.
    fn make_room(&mut self, now: Time, name: &ServiceName) {
        let service = &mut self.services[name];
        if service.queue.len() + service.claiming <= service.limit {
            return;
        }
        let Some(last) = service.queue.last_batch() else {
            return;
        };
        if let Some(request) = self.requests.get_mut(&last)
            && request.failed.is_none()
        {
            service.queue.remove(request.priority, last);
            request.queued = false;
            request.failed = Some(Code::QueueFull);
            self.wakes.insert(last);
            let limit = service.limit as i64;
            let facts = || vec![Fact::new("limit", limit, Unit::Count)];
            let subject = Subject::Service(name.clone());
            self.notes
                .add(now, subject, Action::Refuse, Cause::QueueFull, facts);
        }
    }

    fn refuse(&mut self, now: Time, info: &RequestInfo, reason: Reason) -> Refusal {
        let subject = Subject::Service(info.service.clone());
        let facts = || reason.facts;
        self.notes
            .add(now, subject, Action::Refuse, reason.cause, facts);
        // "Not run" would also be a statement about earlier attempts with the key.
        let code = if info.needs_claim() {
            Code::ClaimUnavailable
        } else {
            reason.code
        };
        Refusal {
            code,
            retry: reason.retry,
            release: false,
        }
    }
}
