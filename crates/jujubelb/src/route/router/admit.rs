//! Admission of requests and the results of their claims.

use crate::model::{Action, Cause, Code, Fact, Priority, ServiceName, Span, Subject, Time, Unit};

use super::super::balance::BalancePolicy;
use super::super::service::RegionScope;
use super::super::{ClaimResult, Refusal, RequestInfo, Ticket};
use super::{ClaimState, Fault, Request, Router};

/// Fraction of a queue that batch requests may fill; the rest is reserved for urgent ones.
const MAX_BATCH_FRACTION: f64 = 0.5;

/// Retry delay of refusals for which there is no better estimate.
const DEFAULT_RETRY_DELAY: Span = Span::from_millis(100);

/// Retry delay while this entry host is stopping; another one can serve the retry at once.
const DRAINING_RETRY_DELAY: Span = Span::from_millis(1);

/// Why a request is refused.
struct RefusalReason {
    code: Code,
    cause: Cause,
    retry_after: Option<Span>,
    facts: Vec<Fact>,
}

impl<B: BalancePolicy> Router<B> {
    /// Admits a request, or refuses it without running it.
    pub fn admit(&mut self, now: Time, info: RequestInfo) -> Result<Ticket, Refusal> {
        self.refresh_shares_if_due(now);
        let crosses_region = match self.check_admission(now, &info) {
            Ok(crosses_region) => crosses_region,
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
                ClaimState::Needed
            } else {
                ClaimState::NotNeeded
            },
            queued: !needs_claim,
            crosses_region,
            attempts: Vec::new(),
            maybe_ran: false,
            sent: false,
            hedged: false,
            delay_recorded: false,
            failed_endpoints: Vec::new(),
            final_code: None,
        };
        self.requests.insert(ticket, request);
        self.displace_batch(now, &info.service);
        Ok(ticket)
    }

    /// Reports the result of claiming the key of a request. Ignored unless the claim is
    /// in progress.
    pub fn claim_finished(&mut self, now: Time, ticket: Ticket, result: ClaimResult) {
        self.refresh_shares_if_due(now);
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        let ClaimState::Pending(until) = request.claim else {
            return;
        };
        // The retention of claims allows for a grant before `until` only: after a later
        // one the claim could expire before the caller's last retry.
        let result = match result {
            ClaimResult::Granted if now >= until => ClaimResult::Unavailable,
            other => other,
        };
        request.claim = ClaimState::Decided;
        let service = &mut self.services[&request.service];
        service.claiming -= 1;
        let code = match result {
            ClaimResult::Granted => {
                request.queued = true;
                service.queue.insert(request.priority, ticket);
                return;
            }
            ClaimResult::Held => Code::KeyInUse,
            ClaimResult::Unavailable => Code::ClaimUnavailable,
        };
        request.final_code = Some(code);
        let subject = Subject::Service(request.service.clone());
        let facts = || vec![Fact::new("code", i64::from(code.number()), Unit::Count)];
        self.decisions
            .record(now, subject, Action::Refuse, Cause::ClaimHeld, facts);
    }

    /// Checks whether a request can be admitted. Returns whether it has to be sent to
    /// another region.
    fn check_admission(&mut self, now: Time, info: &RequestInfo) -> Result<bool, RefusalReason> {
        if self.draining && !self.has_fault(Fault::IgnoreDrain) {
            return Err(RefusalReason {
                code: Code::Draining,
                cause: Cause::PlannedStop,
                retry_after: Some(DRAINING_RETRY_DELAY),
                facts: Vec::new(),
            });
        }
        if self.services.get(&info.service).is_none_or(|s| s.removed) {
            return Err(RefusalReason {
                code: Code::NoRoute,
                cause: Cause::ConfigChange,
                retry_after: None,
                facts: Vec::new(),
            });
        }
        if let Some(caller) = &info.caller
            && !self.rates.take(now, caller)
        {
            return Err(RefusalReason {
                code: Code::LimitExceeded,
                cause: Cause::LimitExceeded,
                retry_after: Some(Span::from_secs(1)),
                facts: Vec::new(),
            });
        }
        self.check_endpoints(now, info)?;
        self.check_queue(info)?;
        self.check_deadline(now, info)
    }

    fn check_endpoints(&self, now: Time, info: &RequestInfo) -> Result<(), RefusalReason> {
        let service = &self.services[&info.service];
        let has_usable_in = |scope| service.has_usable(now, scope, info.idempotent);
        if has_usable_in(RegionScope::Local)
            || has_usable_in(RegionScope::Remote)
            || self.has_fault(Fault::IgnoreLeaving)
        {
            return Ok(());
        }
        let due = service.next_probe().map(|at| at.since(now));
        let count = service.endpoints.len() as i64;
        Err(RefusalReason {
            code: Code::NoEndpoint,
            cause: Cause::NoEndpoint,
            retry_after: Some(due.unwrap_or(Span::from_secs(1))),
            facts: vec![Fact::new("endpoints", count, Unit::Count)],
        })
    }

    fn check_queue(&self, info: &RequestInfo) -> Result<(), RefusalReason> {
        let service = &self.services[&info.service];
        let waiting = service.queue.len() + service.claiming;
        let batch = service.queue.batch_len();
        let fits = match info.priority {
            // An urgent request displaces a batch request, see `displace_batch`.
            Priority::Urgent => waiting < service.queue_limit || batch > 0,
            Priority::Batch => {
                waiting < service.queue_limit
                    && (batch as f64) < service.queue_limit as f64 * MAX_BATCH_FRACTION
            }
        };
        if fits {
            return Ok(());
        }
        Err(RefusalReason {
            code: Code::QueueFull,
            cause: Cause::QueueFull,
            retry_after: Some(DEFAULT_RETRY_DELAY),
            facts: vec![
                Fact::new("waiting", waiting as i64, Unit::Count),
                Fact::new("limit", service.queue_limit as i64, Unit::Count),
            ],
        })
    }

    /// Compares the expected duration with the deadline, for the own region and for
    /// others. Returns whether the request has to be sent to another region.
    fn check_deadline(&mut self, now: Time, info: &RequestInfo) -> Result<bool, RefusalReason> {
        let service = &self.services[&info.service];
        let allowed = info.deadline.unwrap_or(service.deadline);
        let local = self.expected_duration(now, &info.service, info.priority, RegionScope::Local);
        if local <= allowed {
            return Ok(false);
        }
        let remote = self.expected_duration(now, &info.service, info.priority, RegionScope::Remote);
        let usable_locally = service.has_usable(now, RegionScope::Local, info.idempotent);
        // Batch requests cross only if the own region has no usable endpoint.
        let may_cross = info.priority == Priority::Urgent || !usable_locally;
        let mut cause = Cause::Deadline;
        if remote <= allowed && may_cross {
            let ahead = service.queue.requests_ahead(info.priority) as u64;
            if self.link.allows(now, info.bytes.0, info.priority) {
                return Ok(true);
            }
            // Without local endpoints all queued requests wait for the link, in order.
            let wait = self.link.wait(info.bytes.0, info.priority);
            let wait = wait.map(|w| w.scale_up(ahead + 1, 1));
            if !usable_locally && wait.is_some_and(|w| w + remote <= allowed) {
                return Ok(false);
            }
            cause = Cause::LinkBudget;
        }
        let expected_duration = local.min(remote).as_micros() as i64;
        Err(RefusalReason {
            code: Code::DeadlineTooShort,
            cause,
            retry_after: Some(DEFAULT_RETRY_DELAY),
            facts: vec![
                Fact::new("expected", expected_duration, Unit::Micros),
                Fact::new("deadline", allowed.as_micros() as i64, Unit::Micros),
            ],
        })
    }

    /// Expected time from the admission of a new request until its response.
    fn expected_duration(
        &self,
        now: Time,
        name: &ServiceName,
        priority: Priority,
        scope: RegionScope,
    ) -> Span {
        let service = &self.services[name];
        let fastest = service.min_latency(now, scope, true);
        // Before the first response no latency is known, so only the wait counts.
        let median = match service.latency.median(now) {
            Some(_) => fastest,
            None if fastest.is_finite() => 0.0,
            None => f64::INFINITY,
        };
        let total = service.expected_wait(now, scope, priority) + median;
        Span::from_micros(total as u64)
    }

    /// Fails the last batch request if an urgent one exceeded the queue limit.
    fn displace_batch(&mut self, now: Time, name: &ServiceName) {
        let service = &mut self.services[name];
        if service.queue.len() + service.claiming <= service.queue_limit {
            return;
        }
        let Some(last) = service.queue.last_batch() else {
            return;
        };
        if let Some(request) = self.requests.get_mut(&last)
            && request.final_code.is_none()
        {
            service.queue.remove(request.priority, last);
            request.queued = false;
            request.final_code = Some(Code::QueueFull);
            self.wakeups.insert(last);
            let limit = service.queue_limit as i64;
            let facts = || vec![Fact::new("limit", limit, Unit::Count)];
            let subject = Subject::Service(name.clone());
            self.decisions
                .record(now, subject, Action::Refuse, Cause::QueueFull, facts);
        }
    }

    fn refuse(&mut self, now: Time, info: &RequestInfo, reason: RefusalReason) -> Refusal {
        let subject = Subject::Service(info.service.clone());
        let facts = || reason.facts;
        self.decisions
            .record(now, subject, Action::Refuse, reason.cause, facts);
        // A code that says "not run" would also cover earlier requests with the same key,
        // which may have run.
        let code = if info.needs_claim() {
            Code::ClaimUnavailable
        } else {
            reason.code
        };
        Refusal {
            code,
            retry_after: reason.retry_after,
            release_claim: false,
        }
    }
}
