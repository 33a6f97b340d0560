//! Handoff of queued tasks to shards with room and quota.

use super::PlacementPolicy;
use super::facts::{count, decision, signed, span};
use super::start::{HANDOFFS, Pass, Want};
use crate::model::{Cause, DomainName, Fact, JobSpec, Resources, ShardName, Span, Unit};
use crate::shard::{Choice, ShardSummary, ShardView};

/// How long the amounts offered to a shard count against its summary. By then
/// its heartbeats show them.
const SENT: Span = Span::from_secs(3);

impl PlacementPolicy {
    /// Offers a task to the shard with the most room that may run it. Returns
    /// `false` if there is none.
    pub(super) fn hand_off(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut Pass,
        want: &Want<'_>,
        cause: Cause,
        reason: &[Fact],
    ) -> bool {
        if pass.handoffs >= HANDOFFS {
            return false;
        }
        if view.now.since(self.sent_at) >= SENT {
            self.sent.clear();
            self.sent_at = view.now;
        }
        let Some(target) = self.target(view, want.job, &want.need) else {
            return false;
        };
        let mut facts = reason.to_vec();
        let (cpu, memory) = (signed(target.free.cpu.0), signed(target.free.memory.0));
        facts.push(Fact::new("target-free-cpu", cpu, Unit::Millicores));
        facts.push(Fact::new("target-free-memory", memory, Unit::Bytes));
        facts.push(count("target-queued", target.queued as usize));
        facts.push(span("waited", view.now.since(want.head.since)));
        let to = target.shard.clone();
        *self.sent.entry(to.clone()).or_default() += want.need;
        pass.handoffs += 1;
        self.forget_queued(&want.head.task);
        let choice = Choice::HandOff {
            task: want.head.task.clone(),
            to,
        };
        pass.decisions.push(decision(choice, cause, facts));
        true
    }

    fn target<'a>(
        &self,
        view: &ShardView<'a>,
        job: &JobSpec,
        need: &Resources,
    ) -> Option<&'a ShardSummary> {
        let quota = view.config.teams.get(&job.team)?.quota;
        let shares = self.division.as_ref()?.shares(job.team.as_str(), &quota);
        let has_quota = |shard: &ShardName| {
            let mut shares = shares.iter();
            shares.any(|(name, share)| *name == shard && need.fits(share))
        };
        view.peers
            .iter()
            .filter(|peer| &peer.shard != view.shard)
            .filter(|peer| view.config.in_service(&peer.domain) && permits(job, &peer.domain))
            .filter(|peer| need.fits(&peer.largest) && has_quota(&peer.shard))
            .map(|peer| (peer, self.left(peer)))
            .filter(|(_, left)| need.fits(left))
            .max_by_key(|(_, left)| (left.memory, left.cpu))
            .map(|(peer, _)| peer)
    }

    /// What is free in a shard beyond what was offered to it.
    fn left(&self, peer: &ShardSummary) -> Resources {
        let sent = self.sent.get(&peer.shard).copied().unwrap_or_default();
        peer.free.saturating_sub(&sent)
    }
}

/// Whether a job may run in a domain.
pub(super) fn permits(job: &JobSpec, domain: &DomainName) -> bool {
    job.task.domains.is_empty() || job.task.domains.contains(domain)
}
