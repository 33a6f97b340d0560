//! Several owners, one store, workers and the network between them, in virtual time.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use indexmap::{IndexMap, IndexSet};
use jujubelb::config::{Config, Domain, Rack, Shard, Team, Worker};
use jujubelb::journal::Journal;
use jujubelb::model::{
    Attempt, Code, JobName, JobSpec, NodeName, Priority, Resources, Revision, ShardName, Span,
    TaskId, TaskKind, TaskSpec, Time, WallTime,
};
use jujubelb::shard::{Cancellation, Offer, Output, Owner, RequestId};
use jujubelb::worker::{SyncRequest, SyncResponse};

use super::oracle::Oracle;
use super::policy::{Base, Scripted};
use super::store::FakeStore;
use super::worker::FakeWorker;

pub const TICK: Span = Span::from_millis(200);

/// Time without an owner after which another process takes over.
pub(super) const TAKE_OVER: Span = Span::from_secs(5);

pub(super) const SHARDS: [&str; 2] = ["a", "b"];
const NODES_PER_SHARD: usize = 3;
const WORKERS_PER_SHARD: usize = 2;

pub const CAPACITY: Resources = Resources::new(4_500, 9 << 30, 0);
pub const RESERVED: Resources = Resources::new(500, 1 << 30, 0);

/// What happens to a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Drop,
    LoseAnswer,
    /// It fails at once and arrives later.
    Delay,
    /// It arrives, and once more later.
    Duplicate,
    /// The answer arrives later.
    SlowAnswer,
    /// It arrives after this many milliseconds, and the answer then.
    Slow(u64),
}

/// A deliberate fault that the oracle has to notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Sabotage {
    None,
    /// Neither the store nor the workers keep a former owner out.
    SkipFencing,
    /// Each owner takes its configuration for confirmed at any time.
    IgnoreEvidence,
    /// Each owner's clock runs eight times too fast, so that it does not wait for leases.
    IgnoreLeases,
    /// A new owner queues completed tasks again.
    RerunCompleted,
    /// A new owner forgets checkpoints.
    ForgetCheckpoints,
    /// A new owner loses a queued task.
    LoseTask,
    /// The configuration gives workers twice the capacity that they have.
    Overstate,
    /// A store that is down answers submissions as if it had stored them.
    AcceptUnstored,
}

pub(super) type Clock = Box<dyn Fn() -> Time>;

/// One scheduler process, which may own one shard.
pub struct Process {
    pub node: NodeName,
    pub shard: ShardName,
    pub incarnation: u64,
    pub(super) offset: u64,
    /// How long before the present its reads of the configuration began.
    pub lag: Span,
    pub owner: Option<Owner<Scripted>>,
    pub(super) journal: Option<Journal<Arc<FakeStore>, Clock>>,
    pub(super) unresolved: Option<u64>,
    pub paused: bool,
    /// Whether its outputs are kept until it wakes.
    pub(super) holding: bool,
    pub(super) held: Vec<Output>,
    /// Whether nobody answers at its address.
    pub silent: bool,
    /// Whether it can't read the configuration.
    pub deaf: bool,
    pub(super) revision: Revision,
    pub wishes: Scripted,
}

pub struct World {
    pub now: Time,
    pub(super) clock: Arc<AtomicU64>,
    pub store: Arc<FakeStore>,
    pub workers: Vec<(FakeWorker, Resources)>,
    pub processes: Vec<Process>,
    pub oracle: Oracle,
    /// Configurations written, with the time of the write.
    pub(super) configs: Vec<(Time, Arc<Config>)>,
    pub(super) out_since: IndexMap<ShardName, Time>,
    pub modes: Vec<Mode>,
    /// Time on the way of requests that carry starts, in milliseconds.
    pub slow_starts: Option<u64>,
    /// The same for offers.
    pub offer_modes: Vec<Mode>,
    /// Requests under way: arrival, sender, its incarnation, worker.
    pub(super) transit: Vec<(Time, usize, u64, usize, SyncRequest)>,
    /// Pairs of process and worker that can't reach each other.
    pub cuts: IndexSet<(usize, usize)>,
    pub(super) late: Vec<(usize, SyncRequest)>,
    pub(super) late_offers: Vec<Offer>,
    pub(super) slow: Vec<(usize, u64, usize, Option<SyncResponse>)>,
    pub(super) ownerless: IndexMap<ShardName, Time>,
    pub(super) tickets: u64,
    pub(super) submissions: IndexMap<RequestId, JobName>,
    pub(super) offers: IndexMap<RequestId, (usize, u64, TaskId, Attempt)>,
    pub(super) cancels: IndexMap<RequestId, (usize, u64, Cancellation)>,
    /// Answers to operators' cancellations.
    pub cancelled: Vec<(JobName, Code)>,
    pub last_codes: IndexMap<JobName, Code>,
    pub(super) sabotage: Sabotage,
}

pub fn job(name: &str, tasks: u32, cpu: u64) -> JobSpec {
    JobSpec {
        name: name.into(),
        team: "sorting".into(),
        tasks,
        task: TaskSpec {
            kind: TaskKind::Batch,
            class: "sort".into(),
            priority: Priority::Batch,
            size: Resources::new(cpu, 1 << 30, 0),
            duration: None,
            domains: Vec::new(),
            reclaimable: false,
        },
    }
}

fn config(workers: usize) -> Config {
    let mut config = Config {
        revision: Revision(1),
        ..Config::default()
    };
    config.regions.insert("tunis".into());
    let team = Team {
        quota: Resources::new(1_000_000, 1 << 50, 0),
        weight: 1,
    };
    config.teams.insert("sorting".into(), team);
    for (i, shard) in SHARDS.iter().enumerate() {
        let domain = Domain {
            region: "tunis".into(),
            out: false,
        };
        config.domains.insert((*shard).into(), domain);
        let racks = [(*shard).into()].into_iter().collect();
        let domain = (*shard).into();
        config
            .shards
            .insert((*shard).into(), Shard { domain, racks });
        let rack = Rack {
            domain: (*shard).into(),
            shard: (*shard).into(),
        };
        config.racks.insert((*shard).into(), rack);
        for w in 0..workers {
            let worker = Worker {
                rack: (*shard).into(),
                address: ([127, 0, 0, 1], 1).into(),
                capacity: CAPACITY,
                reserved: RESERVED,
                protection: true,
            };
            let name = format!("w{}", i * workers + w);
            config.workers.insert(name.as_str().into(), worker);
        }
    }
    config
}

impl World {
    pub fn new(sabotage: Sabotage) -> Self {
        Self::sized(sabotage, WORKERS_PER_SHARD, Base::FirstFit)
    }

    /// A world with this many workers in each shard, whose owners have this policy.
    pub fn sized(sabotage: Sabotage, workers: usize, base: Base) -> Self {
        let mut config = config(workers);
        if sabotage == Sabotage::Overstate {
            for worker in config.workers.values_mut() {
                worker.capacity += CAPACITY;
            }
        }
        let now = Time::from_millis(1_000_000);
        let clock = Arc::new(AtomicU64::new(now.as_micros()));
        let mut world = Self {
            now,
            clock,
            store: Arc::default(),
            workers: Vec::new(),
            processes: Vec::new(),
            oracle: Oracle::default(),
            configs: vec![(Time::ZERO, Arc::new(config))],
            out_since: IndexMap::new(),
            modes: Vec::new(),
            slow_starts: None,
            offer_modes: Vec::new(),
            transit: Vec::new(),
            cuts: IndexSet::new(),
            late: Vec::new(),
            late_offers: Vec::new(),
            slow: Vec::new(),
            ownerless: IndexMap::new(),
            tickets: 0,
            submissions: IndexMap::new(),
            offers: IndexMap::new(),
            cancels: IndexMap::new(),
            cancelled: Vec::new(),
            last_codes: IndexMap::new(),
            sabotage,
        };
        world.populate(workers, base);
        world
    }

    pub(super) fn populate(&mut self, workers: usize, base: Base) {
        let rates = [1_000, 970, 1_030, 990];
        for (i, shard) in SHARDS.iter().enumerate() {
            for w in 0..workers {
                let n = i * workers + w;
                let clock = (900_000_000 + 7_000_000 * n as u64, rates[n % rates.len()]);
                let mut worker = FakeWorker::new(&format!("w{n}"), shard, clock);
                worker.unfenced = self.sabotage == Sabotage::SkipFencing;
                let room = CAPACITY.saturating_sub(&RESERVED);
                self.workers.push((worker, room));
            }
            for n in 0..NODES_PER_SHARD {
                self.processes.push(Process {
                    node: format!("{shard}{n}").as_str().into(),
                    shard: (*shard).into(),
                    incarnation: 1,
                    offset: 1_234_567 * (i * NODES_PER_SHARD + n) as u64,
                    lag: Span::ZERO,
                    owner: None,
                    journal: None,
                    unresolved: None,
                    paused: false,
                    holding: false,
                    held: Vec::new(),
                    silent: false,
                    deaf: false,
                    revision: Revision(0),
                    wishes: Scripted::new(base),
                });
            }
        }
        if self.sabotage == Sabotage::SkipFencing {
            self.store.set_unfenced();
        }
        for shard in 0..SHARDS.len() {
            self.take_over(shard * NODES_PER_SHARD);
        }
    }

    /// The present by the calendar, which all processes agree on.
    pub(super) fn calendar(&self) -> WallTime {
        WallTime::from_millis(1_700_000_000_000 + self.now.as_micros() / 1_000)
    }

    /// The present by a process's clock.
    pub fn local(&self, p: usize) -> Time {
        let rate = if self.sabotage == Sabotage::IgnoreLeases {
            8
        } else {
            1
        };
        Time::from_micros(self.now.as_micros() * rate + self.processes[p].offset)
    }
}
