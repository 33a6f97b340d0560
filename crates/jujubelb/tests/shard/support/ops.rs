//! What can happen in a run, as generated values.

use jujubelb::model::{JobName, Span};
use jujubelb::worker::Phase;
use proptest::prelude::*;

use super::policy::Wish;
use super::store::Fault;
use super::world::{Mode, Sabotage, World, job};

#[derive(Debug, Clone)]
pub enum Op {
    Advance(u64),
    Submit {
        job: u8,
        tasks: u32,
        cpu: u64,
    },
    Cancel(u8),
    Finish {
        worker: usize,
        n: usize,
        phase: Phase,
    },
    Checkpoint {
        worker: usize,
        n: usize,
    },
    Pause {
        process: usize,
        holding: bool,
    },
    Wake(usize),
    Crash {
        process: usize,
        silent: bool,
    },
    TakeOver(usize),
    Stop(usize),
    Restart(usize),
    Kill(usize),
    Cut(usize),
    Heal(usize),
    Leave {
        worker: usize,
        leaving: bool,
    },
    Net(Vec<Mode>),
    OfferNet(Vec<Mode>),
    SlowStarts(Option<u64>),
    CutLink {
        process: usize,
        worker: usize,
        cut: bool,
    },
    DeliverLate,
    Store(Vec<Fault>),
    StoreDown(bool),
    StoreLate,
    Domain {
        shard: usize,
        out: bool,
    },
    Read {
        process: usize,
        lag: u64,
        deaf: bool,
    },
    Wish {
        process: usize,
        wish: Wish,
    },
}

fn phase() -> impl Strategy<Value = Phase> {
    prop_oneof![
        4 => Just(Phase::Succeeded),
        1 => Just(Phase::Failed),
        1 => Just(Phase::OverLimit),
    ]
}

fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        Just(Mode::Drop),
        Just(Mode::LoseAnswer),
        Just(Mode::Delay),
        Just(Mode::Duplicate),
        Just(Mode::SlowAnswer),
        (200..8_000_u64).prop_map(Mode::Slow),
    ]
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refuse),
        Just(Fault::LoseAnswer),
        Just(Fault::LoseRequest),
        Just(Fault::Delay),
    ]
}

fn wish() -> impl Strategy<Value = Wish> {
    prop_oneof![
        4 => (0..8_usize).prop_map(Wish::HandOff),
        3 => (0..8_usize).prop_map(Wish::Evict),
        3 => (0..4_usize, 300..2_500_u64).prop_map(|(n, f)| Wish::Resize(n, f)),
        1 => Just(Wish::Overcommit),
    ]
}

/// The processes that own the shards at first are hit more often.
fn process() -> impl Strategy<Value = usize> {
    prop_oneof![Just(0_usize), Just(3_usize), 0..6_usize]
}

fn worker() -> impl Strategy<Value = usize> {
    0..4_usize
}

fn work() -> BoxedStrategy<Op> {
    prop_oneof![
        4 => (0..8_u8, 1..5_u32, 400..2_500_u64)
            .prop_map(|(job, tasks, cpu)| Op::Submit { job, tasks, cpu }),
        1 => (0..8_u8).prop_map(Op::Cancel),
        4 => (worker(), 0..4_usize, phase())
            .prop_map(|(worker, n, phase)| Op::Finish { worker, n, phase }),
        2 => (worker(), 0..4_usize).prop_map(|(worker, n)| Op::Checkpoint { worker, n }),
        3 => (process(), wish()).prop_map(|(process, wish)| Op::Wish { process, wish }),
    ]
    .boxed()
}

fn process_fault() -> BoxedStrategy<Op> {
    prop_oneof![
        2 => (process(), any::<bool>())
            .prop_map(|(process, holding)| Op::Pause { process, holding }),
        2 => process().prop_map(Op::Wake),
        2 => (process(), any::<bool>()).prop_map(|(process, silent)| Op::Crash { process, silent }),
        2 => process().prop_map(Op::TakeOver),
        1 => process().prop_map(Op::Stop),
        3 => (process(), 0..2_800_u64, any::<bool>())
            .prop_map(|(process, lag, deaf)| Op::Read { process, lag, deaf }),
    ]
    .boxed()
}

fn worker_fault() -> BoxedStrategy<Op> {
    prop_oneof![
        1 => worker().prop_map(Op::Restart),
        1 => worker().prop_map(Op::Kill),
        2 => worker().prop_map(Op::Cut),
        1 => worker().prop_map(Op::Heal),
        1 => (worker(), any::<bool>()).prop_map(|(worker, leaving)| Op::Leave { worker, leaving }),
        3 => prop::collection::vec(mode(), 1..6).prop_map(Op::Net),
        2 => prop::collection::vec(mode(), 1..4).prop_map(Op::OfferNet),
        1 => prop::option::of(200..8_000_u64).prop_map(Op::SlowStarts),
        3 => (process(), worker(), prop::bool::weighted(0.7))
            .prop_map(|(process, worker, cut)| Op::CutLink { process, worker, cut }),
        2 => Just(Op::DeliverLate),
    ]
    .boxed()
}

fn platform() -> BoxedStrategy<Op> {
    prop_oneof![
        3 => prop::collection::vec(fault(), 1..4).prop_map(Op::Store),
        1 => any::<bool>().prop_map(Op::StoreDown),
        1 => Just(Op::StoreLate),
        4 => (0..2_usize, any::<bool>()).prop_map(|(shard, out)| Op::Domain { shard, out }),
    ]
    .boxed()
}

pub fn op() -> BoxedStrategy<Op> {
    prop_oneof![
        6 => (200..2_500_u64).prop_map(Op::Advance),
        1 => (10_000..22_000_u64).prop_map(Op::Advance),
        7 => work(),
        3 => process_fault(),
        3 => worker_fault(),
        2 => platform(),
    ]
    .boxed()
}

fn name(job: u8) -> JobName {
    format!("j{job}").as_str().into()
}

impl World {
    pub fn apply(&mut self, op: &Op) {
        match *op {
            Op::Advance(ms) => self.advance(Span::from_millis(ms)),
            Op::Submit { job: n, tasks, cpu } => self.submit(job(name(n).as_str(), tasks, cpu)),
            Op::Cancel(job) => self.cancel(&name(job)),
            Op::Finish { worker, n, phase } => {
                self.workers[worker].0.finish(n, phase);
            }
            Op::Checkpoint { worker, n } => self.workers[worker].0.checkpoint(n),
            Op::Pause { process, holding } => self.pause(process, holding),
            Op::Wake(process) => self.wake(process),
            Op::Crash { process, silent } => self.crash(process, silent),
            Op::TakeOver(process) => self.take_over(process),
            Op::Stop(process) if !self.processes[process].paused => {
                self.give(process, jujubelb::shard::Input::Stop);
            }
            Op::Stop(_) => {}
            Op::Restart(worker) => self.workers[worker].0.restart(),
            Op::Kill(worker) => self.kill(worker),
            Op::Cut(worker) => self.workers[worker].0.cut = true,
            Op::Heal(worker) => self.workers[worker].0.cut = false,
            Op::Leave { worker, leaving } => self.workers[worker].0.leaving = leaving,
            Op::OfferNet(ref modes) => self.offer_modes.extend(modes),
            Op::SlowStarts(ms) => self.slow_starts = ms,
            Op::CutLink {
                process,
                worker,
                cut: true,
            } => {
                self.cuts.insert((process, worker));
            }
            Op::CutLink {
                process, worker, ..
            } => {
                self.cuts.shift_remove(&(process, worker));
            }
            Op::Net(ref modes) => self.modes.extend(modes),
            Op::DeliverLate => self.deliver_late(),
            Op::Store(ref faults) => self.store.fail_writes(faults.iter().copied()),
            Op::StoreDown(down) => self.store.set_down(down),
            Op::StoreLate => self.store.deliver_late(),
            Op::Domain { shard, out } => self.set_out(shard, out),
            Op::Read { process, lag, deaf } => {
                self.processes[process].lag = Span::from_millis(lag);
                self.processes[process].deaf = deaf;
            }
            Op::Wish { process, wish } => self.wish(process, wish),
        }
        self.look();
    }

    /// A host dies and an operator confirms it to all owners.
    fn kill(&mut self, worker: usize) {
        let fake = &mut self.workers[worker].0;
        fake.restart();
        fake.cut = true;
        let name = fake.name.clone();
        for p in 0..self.processes.len() {
            if !self.processes[p].paused {
                self.give(p, jujubelb::shard::Input::ConfirmDead(name.clone()));
            }
        }
    }
}

/// Runs the operations and then lets everything settle.
pub fn run(sabotage: Sabotage, ops: &[Op]) -> Vec<String> {
    let mut world = World::new(sabotage);
    for op in ops {
        world.apply(op);
        if !world.oracle.violations.is_empty() {
            return world.oracle.violations;
        }
    }
    world.settle(SETTLE);
    world.oracle.violations
}

/// Time within which all accepted work has to end once faults have stopped:
/// a worker lease, the longest wait after repeated failures in a run, and some
/// rounds of starts.
pub const SETTLE: Span = Span::from_secs(300);
