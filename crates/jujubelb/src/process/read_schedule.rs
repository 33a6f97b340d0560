//! Decides when a process reads the configuration head from the store and when it
//! asks a peer instead. Does no I/O.

use crate::model::{DomainName, NodeName, Revision, Span, Time};
use crate::peer::{Liveness, Member};

/// Interval at which the reader of a domain reads the head.
const READ_INTERVAL: Span = Span::from_millis(1_000);

/// Delay after the reader's expected read before a peer asks it.
const REQUEST_DELAY: Span = Span::from_millis(50);

/// Shortest interval between requests to peers.
const MIN_REQUEST_INTERVAL: Span = Span::from_millis(200);

/// Age of evidence above which a process no longer relies on the reader of its
/// domain. Evidence is valid for 3 s.
const MAX_EVIDENCE_AGE: Span = Span::from_millis(2_000);

/// Additional age per rank at which a process reads itself, so that not all processes
/// of a domain read at once.
const RANK_DELAY: Span = Span::from_millis(100);

/// The next action of the configuration thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Reads the head from the store.
    Read,
    /// Asks this peer for a newer configuration and its evidence.
    Ask(NodeName),
    /// Does nothing in this step.
    Wait,
}

/// The state on which a decision depends.
#[derive(Debug)]
pub(crate) struct ScheduleInput<'a> {
    pub(crate) node: &'a NodeName,
    pub(crate) domain: &'a DomainName,
    pub(crate) revision: Revision,
    /// Age of the evidence; absent without evidence.
    pub(crate) age: Option<Span>,
    pub(crate) members: &'a [Member],
}

/// Schedules reads and requests to peers.
#[derive(Debug, Default)]
pub(crate) struct ReadSchedule {
    last_read: Option<Time>,
    last_request: Option<Time>,
    /// Earliest time of the next request to the reader of the domain.
    request_at: Time,
}

impl ReadSchedule {
    /// Decides about the next step and records its time.
    pub(crate) fn next(&mut self, now: Time, input: &ScheduleInput<'_>) -> Step {
        let step = self.decide(now, input);
        match &step {
            Step::Read => self.last_read = Some(now),
            Step::Ask(_) => {
                self.last_request = Some(now);
                self.request_at = now + READ_INTERVAL;
            }
            Step::Wait => {}
        }
        step
    }

    /// Records a reply with evidence of this age. The reader of the domain is asked
    /// again after its next read.
    pub(crate) fn reply_received(&mut self, now: Time, age: Option<Span>) {
        let until = age.map_or(READ_INTERVAL, |age| READ_INTERVAL.saturating_sub(age));
        self.request_at = now + until.max(MIN_REQUEST_INTERVAL) + REQUEST_DELAY;
    }

    fn decide(&self, now: Time, input: &ScheduleInput<'_>) -> Step {
        let mut order = self.reader_order(input);
        order.sort();
        let rank = order.iter().position(|node| *node == input.node);
        let rank = rank.unwrap_or_default();
        let read_due = self
            .last_read
            .is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if rank == 0 && read_due {
            return Step::Read;
        }
        if let Some(newer) = self.newer_peer(now, input) {
            return Step::Ask(newer);
        }
        if now >= self.request_at {
            // Stale evidence means that the reader can't reach the store or that this
            // process can't reach the reader.
            let stale = input.age.is_none_or(|age| age > MAX_EVIDENCE_AGE);
            if stale && let Some(fresh) = freshest_peer(input) {
                return Step::Ask(fresh);
            }
            if rank > 0 {
                return Step::Ask(order[0].clone());
            }
        }
        let max_age = MAX_EVIDENCE_AGE + Span::from_micros(RANK_DELAY.as_micros() * rank as u64);
        if rank > 0 && read_due && input.age.is_none_or(|age| age > max_age) {
            return Step::Read;
        }
        Step::Wait
    }

    /// Live processes of the domain, including this one. The first by name is the reader.
    fn reader_order<'a>(&self, input: &ScheduleInput<'a>) -> Vec<&'a NodeName> {
        let in_domain = input.members.iter().filter(|member| {
            member.liveness == Liveness::Alive
                && !member.heartbeat.draining
                && member.heartbeat.domain == *input.domain
        });
        let mut order: Vec<_> = in_domain.map(|member| &member.heartbeat.node).collect();
        order.push(input.node);
        order
    }

    /// A peer with a higher revision, unless the last request is too recent.
    fn newer_peer(&self, now: Time, input: &ScheduleInput<'_>) -> Option<NodeName> {
        if self
            .last_request
            .is_some_and(|at| now.since(at) < MIN_REQUEST_INTERVAL)
        {
            return None;
        }
        let newest = input.members.iter().max_by_key(|m| m.heartbeat.revision)?;
        (newest.heartbeat.revision > input.revision).then(|| newest.heartbeat.node.clone())
    }
}

/// The live peer with the freshest evidence by its last heartbeat, if that is fresh.
fn freshest_peer(input: &ScheduleInput<'_>) -> Option<NodeName> {
    let live = input
        .members
        .iter()
        .filter(|member| member.liveness == Liveness::Alive);
    let fresh =
        live.filter_map(|member| Some((member.heartbeat.evidence?, &member.heartbeat.node)));
    let (age, node) = fresh.min()?;
    (age <= MAX_EVIDENCE_AGE).then(|| node.clone())
}
