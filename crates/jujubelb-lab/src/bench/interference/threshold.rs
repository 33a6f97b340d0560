//! The baseline that evicts above a fixed threshold.

use indexmap::IndexMap;
use jujubelb::model::{Cause, Span, Time, WorkerName};
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{Choice, Decision, Policy, PolicyEvent, ShardView};

use super::world::usual;

/// Slowdown at which the fixed threshold evicts, and the wait after an eviction.
const THRESHOLD: f64 = 0.5;
const SETTLE: Span = Span::from_secs(7);

/// Placement that ignores pairs, with an eviction of the largest task whenever a
/// report is above a fixed threshold.
pub(super) struct Threshold {
    inner: PlacementPolicy,
    evict: Vec<WorkerName>,
    /// Last eviction on each worker. The next one waits until reports show its effect.
    last: IndexMap<WorkerName, Time>,
}

impl Threshold {
    pub(super) fn new(inner: PlacementPolicy) -> Self {
        Self {
            inner,
            evict: Vec::new(),
            last: IndexMap::new(),
        }
    }
}

impl Policy for Threshold {
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision> {
        let mut decisions = self.inner.choose(view);
        for name in std::mem::take(&mut self.evict) {
            let running = view.workers[&name].assigned.iter().filter(|o| !o.stopping);
            if let Some(largest) = running.max_by_key(|o| o.limit.cpu) {
                decisions.push(Decision {
                    choice: Choice::Evict {
                        task: largest.task.clone(),
                    },
                    cause: Cause::Interference,
                    facts: Vec::new(),
                    parent: None,
                });
            }
        }
        decisions
    }

    fn on_event(&mut self, now: Time, news: PolicyEvent<'_>) {
        match &news {
            PolicyEvent::LatencyReported(report) => {
                let usual = usual(f64::from(report.load) / 1_000.0);
                let slowdown = report.mean.as_secs_f64() / usual - 1.0;
                let last = self.last.get(&report.worker);
                if slowdown > THRESHOLD && last.is_none_or(|t| now.since(*t) > SETTLE) {
                    self.evict.push(report.worker.clone());
                    self.last.insert(report.worker.clone(), now);
                }
            }
            _ => self.inner.on_event(now, news),
        }
    }
}
