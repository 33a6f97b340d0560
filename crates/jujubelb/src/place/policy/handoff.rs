//! Handoff of queued tasks to shards with free capacity and quota.

use super::PlacementPolicy;
use super::facts::{count, decision, saturating_i64, span};
use super::queue_pass::{MAX_HANDOFFS_PER_PASS, PassState, PendingTask};
use crate::model::{Cause, DomainName, Fact, JobSpec, Resources, ShardName, Span, Unit};
use crate::shard::{Choice, ShardSummary, ShardView};

/// How long offered resources are subtracted from the free capacity in a shard's
/// summary. After this time the shard's heartbeats include them.
const OFFERED_RETENTION: Span = Span::from_secs(3);

impl PlacementPolicy {
    /// Offers a task to the shard with the most free capacity among those that may
    /// run it. Returns `false` if there is none or the pass has reached its maximum
    /// number of handoffs.
    pub(super) fn hand_off(
        &mut self,
        view: &ShardView<'_>,
        pass: &mut PassState,
        pending: &PendingTask<'_>,
        cause: Cause,
        reason: &[Fact],
    ) -> bool {
        if pass.handoffs >= MAX_HANDOFFS_PER_PASS {
            return false;
        }
        if view.now.since(self.offered_since) >= OFFERED_RETENTION {
            self.offered.clear();
            self.offered_since = view.now;
        }
        let Some(target) = self.handoff_target(view, pending.job, &pending.need) else {
            return false;
        };
        let mut facts = reason.to_vec();
        let (cpu, memory) = (
            saturating_i64(target.free.cpu.0),
            saturating_i64(target.free.memory.0),
        );
        facts.push(Fact::new("target-free-cpu", cpu, Unit::Millicores));
        facts.push(Fact::new("target-free-memory", memory, Unit::Bytes));
        facts.push(count("target-queued", target.queued as usize));
        facts.push(span("waited", view.now.since(pending.head.since)));
        let to = target.shard.clone();
        *self.offered.entry(to.clone()).or_default() += pending.need;
        pass.handoffs += 1;
        self.forget_queued(&pending.head.task);
        let choice = Choice::HandOff {
            task: pending.head.task.clone(),
            to,
        };
        pass.decisions.push(decision(choice, cause, facts));
        true
    }

    fn handoff_target<'a>(
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
            .filter(|peer| {
                view.config.in_service(&peer.domain) && permits_domain(job, &peer.domain)
            })
            .filter(|peer| need.fits(&peer.largest) && has_quota(&peer.shard))
            .map(|peer| (peer, self.unoffered(peer)))
            .filter(|(_, left)| need.fits(left))
            .max_by_key(|(_, left)| (left.memory, left.cpu))
            .map(|(peer, _)| peer)
    }

    /// Free capacity of a shard minus the resources recently offered to it.
    fn unoffered(&self, peer: &ShardSummary) -> Resources {
        let offered = self.offered.get(&peer.shard).copied().unwrap_or_default();
        peer.free.saturating_sub(&offered)
    }
}

/// Whether a job may run in a failure domain.
pub(super) fn permits_domain(job: &JobSpec, domain: &DomainName) -> bool {
    job.task.domains.is_empty() || job.task.domains.contains(domain)
}
