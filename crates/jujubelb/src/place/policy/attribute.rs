//! Quarantine and readmission of workers, and parking of jobs, after failures.

use indexmap::IndexSet;

use super::PlacementPolicy;
use super::facts::{count, decision, span};
use crate::model::{Cause, WorkerName};
use crate::place::attribution::Action;
use crate::shard::{Choice, Decision, ShardView};

impl PlacementPolicy {
    pub(super) fn attribute_failures(
        &mut self,
        view: &ShardView<'_>,
        decisions: &mut Vec<Decision>,
    ) {
        let quarantined: IndexSet<WorkerName> = view
            .workers
            .iter()
            .filter(|(_, worker)| worker.quarantined)
            .map(|(name, _)| name.clone())
            .collect();
        let total = view.workers.len();
        for action in self.attribution.actions(view.now, total, &quarantined) {
            decisions.push(action_decision(action, quarantined.len(), total));
        }
    }
}

fn action_decision(action: Action, quarantined: usize, total: usize) -> Decision {
    match action {
        Action::Quarantine {
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
        Action::Readmit { worker, after } => {
            let facts = vec![span("in-quarantine", after)];
            decision(Choice::Readmit { worker }, Cause::ProbationEnded, facts)
        }
        Action::Park {
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
