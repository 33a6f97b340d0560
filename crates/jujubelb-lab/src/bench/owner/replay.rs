//! Replays recorded inputs on an owner and measures its CPU time.

use std::cell::Cell;
use std::fs;
use std::rc::Rc;
use std::time::{Duration, Instant};

use jujubelb::model::Time;
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{Decision, Input, Owner, Policy, PolicyEvent, ShardView, TeamUsage};

/// Recorded run that can be replayed.
pub(super) struct RecordedRun {
    /// An owner in the state before the first input.
    pub(super) owner: Owner<TimedPolicy>,
    pub(super) timer: Rc<PolicyTimer>,
    pub(super) inputs: Vec<(Time, Input)>,
    /// Number of inputs before the measurement.
    pub(super) warmup_inputs: usize,
}

/// CPU time in microseconds.
#[derive(Debug, Default)]
pub(super) struct Cost {
    pub(super) total: f64,
    pub(super) policy: f64,
    pub(super) exchanges: f64,
    pub(super) segments: f64,
    pub(super) decisions: u64,
    /// Resident memory of the process in MB, the recorded inputs included.
    pub(super) memory: f64,
}

/// Time spent in the policy, and number of its decision calls.
#[derive(Debug, Default)]
pub(super) struct PolicyTimer {
    spent: Cell<Duration>,
    decisions: Cell<u64>,
}

/// The placement policy with its calls timed.
#[derive(Debug)]
pub(super) struct TimedPolicy {
    pub(super) policy: PlacementPolicy,
    pub(super) timer: Rc<PolicyTimer>,
}

impl TimedPolicy {
    fn timed<R>(&mut self, call: impl FnOnce(&mut PlacementPolicy) -> R) -> R {
        let start = Instant::now();
        let result = call(&mut self.policy);
        self.timer
            .spent
            .set(self.timer.spent.get() + start.elapsed());
        result
    }
}

impl Policy for TimedPolicy {
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision> {
        self.timer.decisions.set(self.timer.decisions.get() + 1);
        self.timed(|policy| policy.choose(view))
    }

    fn on_event(&mut self, now: Time, event: PolicyEvent<'_>) {
        self.timed(|policy| policy.on_event(now, event));
    }

    fn save(&self) -> Vec<u8> {
        self.policy.save()
    }

    fn restore(&mut self, saved: &[u8]) {
        self.policy.restore(saved);
    }

    fn team_usage(&self, view: &ShardView<'_>) -> Vec<TeamUsage> {
        self.policy.team_usage(view)
    }
}

/// Replays a run. The thread's CPU time is divided among the kinds of
/// inputs by wall time, because only the sum is read precisely.
pub(super) fn replay(recording: RecordedRun) -> Cost {
    let RecordedRun {
        mut owner,
        timer,
        mut inputs,
        warmup_inputs,
    } = recording;
    let measured = inputs.split_off(warmup_inputs.min(inputs.len()));
    for (now, input) in inputs {
        owner.handle(now, input);
        drop(owner.take_outputs());
    }
    timer.spent.set(Duration::ZERO);
    timer.decisions.set(0);
    let (mut wall, mut exchanges, mut segments) = (0.0, 0.0, 0.0);
    let start = cpu_time();
    for (now, input) in measured {
        let exchange = matches!(input, Input::SyncReply(..));
        let segment = matches!(input, Input::Appended(..));
        let start = Instant::now();
        owner.handle(now, input);
        drop(owner.take_outputs());
        let elapsed = start.elapsed().as_secs_f64();
        wall += elapsed;
        exchanges += if exchange { elapsed } else { 0.0 };
        segments += if segment { elapsed } else { 0.0 };
    }
    let total = (cpu_time() - start) * 1e6;
    let part = |seconds: f64| total * seconds / wall;
    Cost {
        total,
        policy: part(timer.spent.get().as_secs_f64()),
        exchanges: part(exchanges),
        segments: part(segments),
        decisions: timer.decisions.get(),
        memory: resident_memory(),
    }
}

/// CPU time of the thread in seconds; 0 if `/proc` does not provide it.
fn cpu_time() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split_whitespace()
        .next()
        .and_then(|n| n.parse::<f64>().ok());
    nanos.unwrap_or(0.0) / 1e9
}

/// Resident memory of the process in MB; 0 if `/proc` does not provide it.
fn resident_memory() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
    kb.unwrap_or(0.0) / 1024.0
}
