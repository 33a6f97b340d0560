//! The faults of a seed: what is disturbed, when and for how long. Pure; the seed is the only
//! input besides the size of the deployment.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::emulator::ZONES;
use crate::emulator::http::Treatment;
use crate::emulator::worker::{LONGER_MAX_LEASE, MAX_LEASE};

/// Time without faults at the start, in which the hosts find a leader.
const START: Duration = Duration::from_secs(5);

/// Shortest and longest time between two groups of faults, in milliseconds. The longer ones
/// leave room for bounds that hold from 4 s after a fault.
const GAP_MS: (u64, u64) = (1_000, 12_000);

/// Time to stop on request, 6 s, and to start again.
const LONGEST_STOP: Duration = Duration::from_secs(7);

/// Most faults of a group, and longest time between two of them in milliseconds.
const GROUP: (u64, u64) = (4, 2_500);

/// First seed whose plan has silent connections. Plans of lower seeds stay as they were when
/// the seeds were played.
const FIRST_SEED_WITH_SILENCE: u64 = 10_000;

/// First seed with serving jobs and bursts of best-effort jobs. Loads of lower seeds stay as they
/// were when the seeds were played.
const FIRST_SEED_WITH_BURSTS: u64 = 20_000;

/// First seed with series of silences, beside bursts and without other faults than kills of the
/// leader.
const FIRST_SEED_WITH_SERIES: u64 = 30_000;

/// First seed with restarts of the workers of a failure domain, beside bursts and without other
/// faults than kills of the leader. A late call tells the next life of a worker a deadline on
/// another clock, which may grant it the longest lease.
const FIRST_SEED_WITH_RESTARTS: u64 = 40_000;

/// First seed with customers, whose keys and limits change beside surges of their jobs, without
/// bursts and other faults than those of a round for customers.
const FIRST_SEED_WITH_CUSTOMERS: u64 = 50_000;

/// Milliseconds between the operator's changes around a fault: within its bound and beyond it.
const CHANGE_GAP_MS: (u64, u64) = (300, 3_500);

/// Milliseconds for which a host or the workers of a failure domain are cut off while keys and
/// limits change. Leases of both the leader and the workers end meanwhile, or don't.
const CUSTOMER_CUT_MS: (u64, u64) = (2_000, 9_000);

/// Changes of the leader in a row, and milliseconds between two of them: around the length of the
/// leader's lease and the wait for inherited tasks.
const LEADER_CHANGES: (u64, u64) = (3, 5);
const LEADER_CHANGE_GAP_MS: (u64, u64) = (1_000, 4_500);

/// Of the seeds with restarts, one in this number has the longer leases.
const RESTARTS_PER_LONGER_LEASE: u64 = 2;

/// Rounds of restarts, and milliseconds from the end of one to the next.
const ROUNDS: (u64, u64) = (2, 4);
const ROUND_GAP_MS: (u64, u64) = (1_000, 4_000);

/// How long the workers of a round are down.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// Time before the crash in which a share of the calls to a worker is late.
pub(crate) const LATE_BEFORE_CRASH: Duration = Duration::from_millis(600);

/// Delay of calls to a worker that is down, in milliseconds: the first are carried out soon after
/// it is back, before hosts have found out that it has restarted.
const RESTART_LATE_MS: (u64, u64) = (610, 1_200);

/// Milliseconds from the crash of the workers to the kill of the leader.
const RESTART_KILL_MS: (u64, u64) = (1_400, 2_000);

/// Time from that until the workers are cut off from the hosts, and how long they stay so: leases
/// of both lengths end meanwhile, or shortly after.
const CUT_AFTER_KILL: Duration = Duration::from_millis(600);
const CUT_TIME: Duration = Duration::from_secs(9);

/// Silences of a series, and milliseconds between two of them: each hits the connections that were
/// opened after the one before, also while requests on those still wait for their timeout.
const SERIES: (u64, u64) = (3, 7);
const SERIES_GAP_MS: (u64, u64) = (200, 1_800);

/// Share of series in which the leader is killed at the moment of a silence, and of rounds of
/// restarts in which it is killed.
const KILL_SHARE: f64 = 0.5;

/// Time without a silence after a short pause between two series; [`CALM_AFTER`] after half of them.
const SHORT_CALM: Duration = Duration::from_secs(3);

/// Of the seeds with bursts, one in this number has the other faults beside them. The others show
/// whether accepted jobs are worked off when nothing else disturbs the hosts.
const BURSTS_PER_FAULTS: u64 = 2;

/// Time without other faults before a silence, in which processes start again.
const CALM_BEFORE: Duration = Duration::from_secs(2);

/// Time without other faults after a silence. Bounds hold from 4 s after it.
const CALM_AFTER: Duration = Duration::from_secs(9);

/// What a fault is done to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Target {
    Host(usize),
    /// The host that leads when the fault begins.
    Leader,
}

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// The process is killed and starts again after `time`.
    Kill(Target),
    /// The process gets SIGTERM and starts again `time` after it has ended.
    Terminate(Target),
    /// The process is stopped and goes on after `time`.
    Pause(Target),
    /// The process gets SIGHUP.
    Reload(Target),
    /// All processes are killed.
    KillAll,
    /// The link of one host to the store.
    StoreLink(Target, Treatment, f64),
    /// The links of all hosts to the store; workers don't reach it either if no request
    /// passes. `true` lets leases pause meanwhile.
    Store(Treatment, f64, bool),
    /// The store forgets its history.
    ForgetHistory,
    /// The link of all hosts to a worker.
    WorkerLink(usize, Treatment, f64),
    /// A worker crashes and comes back after `time`, under its name or a new one.
    WorkerCrash(usize, bool),
    /// A worker crashes without closing its connections, and comes back under its name after
    /// `time`. Calls to its former life that arrive while it is down are carried out this much
    /// later by the next life, and a share of those that arrive shortly before.
    WorkerRestart(usize, Duration),
    /// A worker drains, leaves, and comes back `time` later under a new name.
    WorkerDrain(usize),
    /// A worker can't reach the store.
    WorkerCut(usize),
    /// An entry that can't be read, or names nobody, is among those of the workers.
    BadEntry,
    /// The operator changes the configuration.
    Change,
    /// A client sends what is no request, and bodies that can't be decoded.
    BadRequests(Target),
    /// After a burst of requests the open connections of all hosts to these go silent for good,
    /// without a reset, and the operator changes the configuration.
    SilentConnections(Peers),
    /// The same without a burst, at the moment at which the next run ends, which the leader then
    /// stores.
    SilentAtEnd(Peers),
}

impl Fault {
    /// Whether it disturbs only one host: its process, or its link to the store. By the rules the
    /// other hosts stay in touch.
    pub(crate) fn has_host(self) -> bool {
        matches!(
            self,
            Self::Kill(_)
                | Self::Terminate(_)
                | Self::Pause(_)
                | Self::Reload(_)
                | Self::StoreLink(..)
        )
    }
}

/// To whom connections go silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Peers {
    Store,
    Workers,
    /// The store and the workers.
    All,
    /// Other hosts.
    Hosts,
    StoreAndHosts,
    Everyone,
}

impl Peers {
    pub(crate) fn include_store(self) -> bool {
        !matches!(self, Self::Workers | Self::Hosts)
    }

    pub(crate) fn include_workers(self) -> bool {
        matches!(self, Self::Workers | Self::All | Self::Everyone)
    }

    pub(crate) fn include_hosts(self) -> bool {
        matches!(self, Self::Hosts | Self::StoreAndHosts | Self::Everyone)
    }
}

/// A fault with its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Planned {
    pub(crate) at: Duration,
    pub(crate) fault: Fault,
    /// How long it lasts.
    pub(crate) time: Duration,
}

impl Planned {
    /// When the fault has ended at the latest: a process may use its time to stop, a worker
    /// drains, and both take a moment to come back.
    pub(crate) fn ends(&self) -> Duration {
        self.at + self.time + LONGEST_STOP
    }
}

/// Whether a seed has serving jobs and bursts of best-effort jobs.
pub(crate) fn has_bursts(seed: u64) -> bool {
    (FIRST_SEED_WITH_BURSTS..FIRST_SEED_WITH_CUSTOMERS).contains(&seed)
}

/// Whether a seed has customers, of which calls need keys.
pub(crate) fn has_customers(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_CUSTOMERS
}

/// Whether a seed has faults from outside.
pub(crate) fn has_faults(seed: u64) -> bool {
    !has_bursts(seed) || has_series(seed) || has_restarts(seed) || seed % BURSTS_PER_FAULTS == 1
}

fn has_series(seed: u64) -> bool {
    (FIRST_SEED_WITH_SERIES..FIRST_SEED_WITH_RESTARTS).contains(&seed)
}

fn has_restarts(seed: u64) -> bool {
    (FIRST_SEED_WITH_RESTARTS..FIRST_SEED_WITH_CUSTOMERS).contains(&seed)
}

/// Longest lease of what runs on the workers of a seed.
pub(crate) fn max_lease(seed: u64) -> Duration {
    match has_restarts(seed) && seed % RESTARTS_PER_LONGER_LEASE == 1 {
        true => LONGER_MAX_LEASE,
        false => MAX_LEASE,
    }
}

/// Draws the faults of a seed, all of which begin before `end`.
pub(crate) fn draw(seed: u64, hosts: usize, workers: usize, end: Duration) -> Vec<Planned> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut planned = Vec::new();
    let mut at = START;
    while has_series(seed) && at < end {
        at = add_series(&mut random, at, &mut planned);
    }
    if has_restarts(seed) {
        for _ in 0..random.random_range(ROUNDS.0..ROUNDS.1) {
            at = add_restarts(&mut random, at, workers, &mut planned);
        }
        at = end;
    }
    while has_customers(seed) && at < end {
        at = add_customer_round(&mut random, at, (hosts, workers), &mut planned);
    }
    while at < end {
        if seed >= FIRST_SEED_WITH_SILENCE {
            at = add_silence(&mut random, at, &mut planned);
        }
        for _ in 0..random.random_range(1..=GROUP.0) {
            planned.push(draw_fault(&mut random, at, hosts, workers));
            at += Duration::from_millis(random.random_range(0..GROUP.1));
        }
        at += Duration::from_millis(random.random_range(GAP_MS.0..GAP_MS.1));
    }
    planned.retain(|p| p.at < end);
    planned
}

/// Adds a silence at some time or later. Half of them have no other fault beside them, so that
/// bounds on time are checked. Returns when the next fault may begin.
fn add_silence(random: &mut StdRng, at: Duration, planned: &mut Vec<Planned>) -> Duration {
    let peers = [Peers::Store, Peers::Workers, Peers::All][random.random_range(0..3)];
    let fault = Fault::SilentConnections(peers);
    let time = Duration::ZERO;
    if random.random() {
        planned.push(Planned { at, fault, time });
        return at;
    }
    let over = planned.iter().map(|p| p.at + p.time).max();
    let at = at.max(over.unwrap_or_default() + CALM_BEFORE);
    planned.push(Planned { at, fault, time });
    at + CALM_AFTER
}

/// Adds a series of silences from some time on. Returns when the next one may begin.
fn add_series(random: &mut StdRng, mut at: Duration, planned: &mut Vec<Planned>) -> Duration {
    let peers = [
        Peers::Store,
        Peers::Hosts,
        Peers::StoreAndHosts,
        Peers::Everyone,
    ];
    let count = random.random_range(SERIES.0..SERIES.1);
    let kill = random
        .random_bool(KILL_SHARE)
        .then(|| random.random_range(0..count));
    for index in 0..count {
        let peers = peers[random.random_range(0..peers.len())];
        let fault = match random.random() {
            true => Fault::SilentConnections(peers),
            false => Fault::SilentAtEnd(peers),
        };
        let time = Duration::ZERO;
        planned.push(Planned { at, fault, time });
        if kill == Some(index) {
            planned.push(Planned {
                at,
                fault: Fault::Kill(Target::Leader),
                time: Duration::from_millis(random.random_range(100..4_000)),
            });
        }
        at += Duration::from_millis(random.random_range(SERIES_GAP_MS.0..SERIES_GAP_MS.1));
    }
    at + if random.random() {
        CALM_AFTER
    } else {
        SHORT_CALM
    }
}

/// Adds a round of restarts of the workers of a failure domain from some time on. Returns when the
/// next one may begin.
fn add_restarts(
    random: &mut StdRng,
    at: Duration,
    workers: usize,
    planned: &mut Vec<Planned>,
) -> Duration {
    let zone = random.random_range(0..ZONES.len());
    let workers = (zone..workers).step_by(ZONES.len());
    let crash = at + LATE_BEFORE_CRASH;
    for worker in workers.clone() {
        let late = random.random_range(RESTART_LATE_MS.0..RESTART_LATE_MS.1);
        let fault = Fault::WorkerRestart(worker, Duration::from_millis(late));
        let time = RESTART_TIME;
        planned.push(Planned { at, fault, time });
    }
    let kill =
        crash + Duration::from_millis(random.random_range(RESTART_KILL_MS.0..RESTART_KILL_MS.1));
    if random.random_bool(KILL_SHARE) {
        planned.push(Planned {
            at: kill,
            fault: Fault::Kill(Target::Leader),
            time: Duration::from_millis(random.random_range(100..4_000)),
        });
    }
    let cut = kill + CUT_AFTER_KILL;
    planned.extend(workers.map(|worker| Planned {
        at: cut,
        fault: Fault::WorkerLink(worker, Treatment::Silence, 1.0),
        time: CUT_TIME,
    }));
    cut + CUT_TIME + Duration::from_millis(random.random_range(ROUND_GAP_MS.0..ROUND_GAP_MS.1))
}

/// Adds a round of faults beside changes of keys and limits from some time on. Returns when the next
/// one may begin.
fn add_customer_round(
    random: &mut StdRng,
    at: Duration,
    (hosts, workers): (usize, usize),
    planned: &mut Vec<Planned>,
) -> Duration {
    let millis = |random: &mut StdRng, range: (u64, u64)| {
        Duration::from_millis(random.random_range(range.0..range.1))
    };
    let target = match random.random() {
        true => Target::Leader,
        false => Target::Host(random.random_range(0..hosts)),
    };
    let mut over = at;
    let mut add = |at: Duration, fault, time: Duration| {
        planned.push(Planned { at, fault, time });
        over = over.max(at + time);
    };
    let change = at + millis(random, CHANGE_GAP_MS);
    let cut = millis(random, CUSTOMER_CUT_MS);
    match random.random_range(0..4) {
        0 => {
            let treatment = match random.random() {
                true => Treatment::Silence,
                false => Treatment::Reset,
            };
            add(at, Fault::StoreLink(target, treatment, 1.0), cut);
        }
        1 => {
            let down = millis(random, (100, 4_000));
            // The leader is killed while the first change spreads.
            let kill = change + millis(random, (0, 300));
            add(kill, Fault::Kill(Target::Leader), down);
        }
        2 => {
            let mut kill = at;
            for _ in 0..random.random_range(LEADER_CHANGES.0..LEADER_CHANGES.1) {
                let down = millis(random, (100, 4_000));
                let fault = match random.random() {
                    true => Fault::Kill(Target::Leader),
                    false => Fault::Pause(Target::Leader),
                };
                add(kill, fault, down);
                add(
                    kill + millis(random, (0, 1_000)),
                    Fault::Change,
                    Duration::ZERO,
                );
                kill += millis(random, LEADER_CHANGE_GAP_MS);
            }
        }
        _ => {
            let treatment = match random.random() {
                true => Treatment::Silence,
                false => Treatment::Late(millis(random, (300, 3_500))),
            };
            let zone = random.random_range(0..ZONES.len());
            for worker in (zone..workers).step_by(ZONES.len()) {
                add(at, Fault::WorkerLink(worker, treatment, 1.0), cut);
            }
            let kill = at + millis(random, CHANGE_GAP_MS);
            add(
                kill,
                Fault::Kill(Target::Leader),
                millis(random, (100, 4_000)),
            );
        }
    }
    add(change, Fault::Change, Duration::ZERO);
    add(
        change + millis(random, CHANGE_GAP_MS),
        Fault::Change,
        Duration::ZERO,
    );
    planned.sort_by_key(|p| p.at);
    over + CALM_AFTER
}

fn draw_fault(random: &mut StdRng, at: Duration, hosts: usize, workers: usize) -> Planned {
    let target = match random.random() {
        true => Target::Leader,
        false => Target::Host(random.random_range(0..hosts)),
    };
    let worker = random.random_range(0..workers);
    let share = if random.random() { 1.0 } else { 0.4 };
    let fault = match random.random_range(0..100) {
        0..14 => Fault::Kill(target),
        14..24 => Fault::Terminate(target),
        24..40 => Fault::Pause(target),
        40..42 => Fault::Reload(target),
        42..45 => Fault::KillAll,
        45..55 => Fault::StoreLink(target, draw_treatment(random), share),
        55..64 => Fault::Store(draw_treatment(random), share, random.random()),
        64..67 => Fault::ForgetHistory,
        67..79 => Fault::WorkerLink(worker, draw_treatment(random), share),
        79..87 => Fault::WorkerCrash(worker, random.random()),
        87..91 => Fault::WorkerDrain(worker),
        91..95 => Fault::WorkerCut(worker),
        95..97 => Fault::BadEntry,
        _ => Fault::BadRequests(target),
    };
    // Around the lengths of leases: 2 s of the leader's, 6 s of the workers'.
    let time = Duration::from_millis(match random.random_range(0..3) {
        0 => random.random_range(100..1_500),
        1 => random.random_range(1_500..4_000),
        _ => random.random_range(4_000..9_000),
    });
    Planned { at, fault, time }
}

fn draw_treatment(random: &mut StdRng) -> Treatment {
    let delay = Duration::from_millis(random.random_range(30..400));
    let late = Duration::from_millis(random.random_range(300..3_500));
    match random.random_range(0..6) {
        0 => Treatment::Reset,
        1 => Treatment::Refuse(if random.random() { 429 } else { 503 }),
        2 => Treatment::Silence,
        3 => Treatment::LoseAnswer,
        4 => Treatment::Late(late),
        _ => Treatment::Delay(delay),
    }
}

#[cfg(test)]
mod tests;
