//! The baseline that evicts above a fixed threshold.

use indexmap::IndexMap;
use jujubelb::model::{Cause, Span, Time, WorkerName};
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{Choice, Decision, Policy, PolicyEvent, ShardView};

use super::simulation::base_latency;

/// Relative slowdown above which a task is evicted.
const MAX_SLOWDOWN: f64 = 0.5;
/// Minimum time between two evictions on a worker.
const EVICTION_INTERVAL: Span = Span::from_secs(7);

/// Placement that ignores interference and evicts the largest task of a worker
/// whenever a latency report exceeds a fixed threshold.
pub(super) struct ThresholdEviction {
    inner: PlacementPolicy,
    evict: Vec<WorkerName>,
    /// Last eviction on each worker. The next one waits until reports reflect it.
    last_eviction: IndexMap<WorkerName, Time>,
}

impl ThresholdEviction {
    pub(super) fn new(inner: PlacementPolicy) -> Self {
        Self {
            inner,
            evict: Vec::new(),
            last_eviction: IndexMap::new(),
        }
    }
}

impl Policy for ThresholdEviction {
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

    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>) {
        match &event {
            PolicyEvent::LatencyReported(report) => {
                let base_latency = base_latency(f64::from(report.load) / 1_000.0);
                let slowdown = report.mean.as_secs_f64() / base_latency - 1.0;
                let last_eviction = self.last_eviction.get(&report.worker);
                if slowdown > MAX_SLOWDOWN
                    && last_eviction.is_none_or(|t| now.since(*t) > EVICTION_INTERVAL)
                {
                    self.evict.push(report.worker.clone());
                    self.last_eviction.insert(report.worker.clone(), now);
                }
            }
            _ => self.inner.on_event(now, event),
        }
    }
}
