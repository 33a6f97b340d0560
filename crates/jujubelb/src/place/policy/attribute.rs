//! Quarantine, readmission and parking.

use indexmap::IndexSet;

use super::PlacementPolicy;
use super::facts::{count, decision, span};
use crate::model::{Cause, WorkerName};
use crate::place::attribution::Verdict;
use crate::shard::{Choice, Decision, ShardView};

impl PlacementPolicy {
    pub(super) fn attribute(&mut self, view: &ShardView<'_>, decisions: &mut Vec<Decision>) {
        let quarantined: IndexSet<WorkerName> = view
            .workers
            .iter()
            .filter(|(_, worker)| worker.quarantined)
            .map(|(name, _)| name.clone())
            .collect();
        let total = view.workers.len();
        for verdict in self.attribution.verdicts(view.now, total, &quarantined) {
            decisions.push(explain(verdict, quarantined.len(), total));
        }
    }
}

fn explain(verdict: Verdict, quarantined: usize, total: usize) -> Decision {
    match verdict {
        Verdict::Quarantine {
            worker,
            failures,
            jobs,
        } => {
            let facts = vec![
                count("failures-since-success", failures),
                count("jobs-fine-elsewhere", jobs),
                count("workers-in-quarantine", quarantined),
                count("workers-in-shard", total),
            ];
            decision(Choice::Quarantine { worker }, Cause::WorkerFailing, facts)
        }
        Verdict::Readmit { worker, after } => {
            let facts = vec![span("in-quarantine", after)];
            decision(Choice::Readmit { worker }, Cause::ProbationEnded, facts)
        }
        Verdict::Park {
            job,
            workers,
            healthy,
        } => {
            let facts = vec![
                count("workers-failed-on", workers),
                count("healthy-among-them", healthy),
            ];
            decision(Choice::Park { job }, Cause::JobFailing, facts)
        }
    }
}
