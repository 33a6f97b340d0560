//! Who reads the configuration head, and who asks whom. No I/O.

use crate::model::{DomainName, NodeName, Revision, Span, Time};
use crate::peer::{Liveness, Member};

/// Interval of reading the head in the reading process of a domain.
const READ_EVERY: Span = Span::from_millis(1_000);

/// Delay after the reader's expected read before it is asked.
const AFTER_READ: Span = Span::from_millis(50);

/// Shortest interval between questions to peers.
const ASK_EVERY: Span = Span::from_millis(200);

/// Age of evidence at which a process stops relying on the reader of its
/// domain. Evidence is good for 3 s.
const STALE: Span = Span::from_millis(2_000);

/// Delay for each process ahead in the order, so that not all read at once.
const RANK_DELAY: Span = Span::from_millis(100);

/// What to do next about the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// Read the head from the store.
    Read,
    /// Ask this peer for a newer configuration and its evidence.
    Ask(NodeName),
    /// Wait.
    Wait,
}

/// What a process knows when it decides.
#[derive(Debug)]
pub(crate) struct Known<'a> {
    pub(crate) node: &'a NodeName,
    pub(crate) domain: &'a DomainName,
    pub(crate) revision: Revision,
    /// Age of the evidence.
    pub(crate) age: Option<Span>,
    pub(crate) members: &'a [Member],
}

/// Decides about reading and asking, and remembers when either was last done.
#[derive(Debug, Default)]
pub(crate) struct Plan {
    read: Option<Time>,
    asked: Option<Time>,
    ask_at: Time,
}

impl Plan {
    /// The next step.
    pub(crate) fn next(&mut self, now: Time, known: &Known<'_>) -> Step {
        let step = self.decide(now, known);
        match &step {
            Step::Read => self.read = Some(now),
            Step::Ask(_) => {
                self.asked = Some(now);
                self.ask_at = now + READ_EVERY;
            }
            Step::Wait => {}
        }
        step
    }

    /// The reader of the domain answered with evidence of this age. It is asked
    /// again after its next read.
    pub(crate) fn answered(&mut self, now: Time, age: Option<Span>) {
        let until = age.map_or(READ_EVERY, |age| READ_EVERY.saturating_sub(age));
        self.ask_at = now + until.max(ASK_EVERY) + AFTER_READ;
    }

    fn decide(&self, now: Time, known: &Known<'_>) -> Step {
        let mut order = self.order(known);
        order.sort();
        let rank = order.iter().position(|node| *node == known.node);
        let rank = rank.unwrap_or_default();
        let read_due = self.read.is_none_or(|at| now.since(at) >= READ_EVERY);
        if rank == 0 && read_due {
            return Step::Read;
        }
        if let Some(newer) = self.newer(now, known) {
            return Step::Ask(newer);
        }
        if now >= self.ask_at {
            // Without fresh evidence the reader can't reach the store or can't be reached.
            let stale = known.age.is_none_or(|age| age > STALE);
            if stale && let Some(fresh) = freshest(known) {
                return Step::Ask(fresh);
            }
            if rank > 0 {
                return Step::Ask(order[0].clone());
            }
        }
        let patience = STALE + Span::from_micros(RANK_DELAY.as_micros() * rank as u64);
        if rank > 0 && read_due && known.age.is_none_or(|age| age > patience) {
            return Step::Read;
        }
        Step::Wait
    }

    /// The live processes of the domain, this one included.
    fn order<'a>(&self, known: &Known<'a>) -> Vec<&'a NodeName> {
        let near = known.members.iter().filter(|member| {
            member.liveness == Liveness::Alive
                && !member.heartbeat.draining
                && member.heartbeat.domain == *known.domain
        });
        let mut order: Vec<_> = near.map(|member| &member.heartbeat.node).collect();
        order.push(known.node);
        order
    }

    /// A peer with a higher revision, if one may be asked now.
    fn newer(&self, now: Time, known: &Known<'_>) -> Option<NodeName> {
        if self.asked.is_some_and(|at| now.since(at) < ASK_EVERY) {
            return None;
        }
        let newest = known.members.iter().max_by_key(|m| m.heartbeat.revision)?;
        (newest.heartbeat.revision > known.revision).then(|| newest.heartbeat.node.clone())
    }
}

/// The live peer with the freshest evidence, as its last heartbeat told.
fn freshest(known: &Known<'_>) -> Option<NodeName> {
    let live = known
        .members
        .iter()
        .filter(|member| member.liveness == Liveness::Alive);
    let fresh =
        live.filter_map(|member| Some((member.heartbeat.evidence?, &member.heartbeat.node)));
    let (age, node) = fresh.min()?;
    (age <= STALE).then(|| node.clone())
}
