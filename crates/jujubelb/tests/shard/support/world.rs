//! A simulation of several owners, one store, workers and the network between them in virtual time.

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
use super::policy::{BasePolicy, ScriptedPolicy};
use super::store::FakeStore;
use super::worker::FakeWorker;

pub const TICK: Span = Span::from_millis(200);

/// Time for which a shard has no owner before another process takes over.
pub(super) const TAKEOVER_DELAY: Span = Span::from_secs(5);

pub(super) const SHARDS: [&str; 2] = ["a", "b"];
const NODES_PER_SHARD: usize = 3;
const WORKERS_PER_SHARD: usize = 2;

pub const CAPACITY: Resources = Resources::new(4_500, 9 << 30, 0);
pub const RESERVED: Resources = Resources::new(500, 1 << 30, 0);

/// Fault of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageFault {
    Drop,
    LoseReply,
    /// The sender sees a failure at once, and the message arrives later.
    Delay,
    /// The message arrives twice, the second time later.
    Duplicate,
    /// The reply arrives later.
    DelayReply,
    /// The message arrives after this many milliseconds, and the reply right after it.
    Slow(u64),
}

/// A bug injected on purpose, which the oracle has to detect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Neither the store nor the workers reject a former owner.
    SkipFencing,
    /// Each owner always considers its configuration confirmed.
    IgnoreEvidence,
    /// The clock of each owner runs eight times too fast, so that it does not wait for
    /// leases to expire.
    IgnoreLeases,
    /// A new owner queues completed tasks again.
    RerunCompleted,
    /// A new owner loses all checkpoints.
    ForgetCheckpoints,
    /// A new owner loses a queued task.
    LoseTask,
    /// The configuration declares more than twice the workers' capacity for tasks.
    OverstateCapacity,
    /// Owners treat failed appends as stored.
    AcceptUnstored,
}

pub(super) type Clock = Box<dyn Fn() -> Time>;

/// One scheduler process, which may own one shard.
pub struct Process {
    pub node: NodeName,
    pub shard: ShardName,
    pub incarnation: u64,
    pub(super) offset: u64,
    /// Age of the configuration that it reads.
    pub config_lag: Span,
    pub owner: Option<Owner<ScriptedPolicy>>,
    pub(super) journal: Option<Journal<Arc<FakeStore>, Clock>>,
    pub(super) unresolved: Option<u64>,
    pub paused: bool,
    /// Whether its outputs are held until it resumes.
    pub(super) holds_outputs: bool,
    pub(super) held_outputs: Vec<Output>,
    /// Whether peers can't reach its address.
    pub unreachable: bool,
    /// Whether it can't read the configuration.
    pub config_unreadable: bool,
    pub(super) revision: Revision,
    pub policy: ScriptedPolicy,
}

pub struct World {
    pub now: Time,
    pub(super) clock: Arc<AtomicU64>,
    pub store: Arc<FakeStore>,
    pub workers: Vec<(FakeWorker, Resources)>,
    pub processes: Vec<Process>,
    pub oracle: Oracle,
    /// All configurations with the time of their write.
    pub(super) configs: Vec<(Time, Arc<Config>)>,
    pub(super) out_since: IndexMap<ShardName, Time>,
    pub message_faults: Vec<MessageFault>,
    /// Transmission time of requests that contain starts, in milliseconds.
    pub slow_starts: Option<u64>,
    /// Faults of the next offers, last one first.
    pub offer_faults: Vec<MessageFault>,
    /// Requests in transit: arrival, sender, its incarnation, worker.
    pub(super) in_transit: Vec<(Time, usize, u64, usize, SyncRequest)>,
    /// Pairs of a process and a worker that can't reach each other.
    pub cut_links: IndexSet<(usize, usize)>,
    pub(super) delayed_requests: Vec<(usize, SyncRequest)>,
    pub(super) delayed_offers: Vec<Offer>,
    pub(super) delayed_replies: Vec<(usize, u64, usize, Option<SyncResponse>)>,
    pub(super) ownerless_since: IndexMap<ShardName, Time>,
    pub(super) last_request_id: u64,
    pub(super) submissions: IndexMap<RequestId, JobName>,
    pub(super) sent_offers: IndexMap<RequestId, (usize, u64, TaskId, Attempt)>,
    pub(super) sent_cancellations: IndexMap<RequestId, (usize, u64, Cancellation)>,
    /// Replies to the cancellations of operators.
    pub cancel_codes: Vec<(JobName, Code)>,
    pub submit_codes: IndexMap<JobName, Code>,
    pub(super) injected_bug: InjectedBug,
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
    pub fn new(injected_bug: InjectedBug) -> Self {
        Self::with_workers(injected_bug, WORKERS_PER_SHARD, BasePolicy::FirstFit)
    }

    /// A simulation with this many workers in each shard, whose owners use this policy.
    pub fn with_workers(injected_bug: InjectedBug, workers: usize, base: BasePolicy) -> Self {
        let mut config = config(workers);
        if injected_bug == InjectedBug::OverstateCapacity {
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
            message_faults: Vec::new(),
            slow_starts: None,
            offer_faults: Vec::new(),
            in_transit: Vec::new(),
            cut_links: IndexSet::new(),
            delayed_requests: Vec::new(),
            delayed_offers: Vec::new(),
            delayed_replies: Vec::new(),
            ownerless_since: IndexMap::new(),
            last_request_id: 0,
            submissions: IndexMap::new(),
            sent_offers: IndexMap::new(),
            sent_cancellations: IndexMap::new(),
            cancel_codes: Vec::new(),
            submit_codes: IndexMap::new(),
            injected_bug,
        };
        world.add_processes(workers, base);
        world
    }

    pub(super) fn add_processes(&mut self, workers: usize, base: BasePolicy) {
        let rates = [1_000, 970, 1_030, 990];
        for (i, shard) in SHARDS.iter().enumerate() {
            for w in 0..workers {
                let n = i * workers + w;
                let clock = (900_000_000 + 7_000_000 * n as u64, rates[n % rates.len()]);
                let mut worker = FakeWorker::new(&format!("w{n}"), shard, clock);
                worker.ignores_fencing = self.injected_bug == InjectedBug::SkipFencing;
                let available = CAPACITY.saturating_sub(&RESERVED);
                self.workers.push((worker, available));
            }
            for n in 0..NODES_PER_SHARD {
                self.processes.push(Process {
                    node: format!("{shard}{n}").as_str().into(),
                    shard: (*shard).into(),
                    incarnation: 1,
                    offset: 1_234_567 * (i * NODES_PER_SHARD + n) as u64,
                    config_lag: Span::ZERO,
                    owner: None,
                    journal: None,
                    unresolved: None,
                    paused: false,
                    holds_outputs: false,
                    held_outputs: Vec::new(),
                    unreachable: false,
                    config_unreadable: false,
                    revision: Revision(0),
                    policy: ScriptedPolicy::new(base),
                });
            }
        }
        if self.injected_bug == InjectedBug::SkipFencing {
            self.store.disable_fencing();
        }
        for shard in 0..SHARDS.len() {
            self.take_over(shard * NODES_PER_SHARD);
        }
    }

    /// Wall-clock time, which is the same for all processes.
    pub(super) fn wall_time(&self) -> WallTime {
        WallTime::from_millis(1_700_000_000_000 + self.now.as_micros() / 1_000)
    }

    /// Current time by the monotonic clock of a process.
    pub fn local_time(&self, p: usize) -> Time {
        let rate = if self.injected_bug == InjectedBug::IgnoreLeases {
            8
        } else {
            1
        };
        Time::from_micros(self.now.as_micros() * rate + self.processes[p].offset)
    }
}
