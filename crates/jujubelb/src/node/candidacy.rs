//! Which host should lead: how long a host waits before it stands for election. Pure
//! decisions; the present time is an argument.
//!
//! The order of preference is: enough processor capacity for the number of workers, enough
//! link speed, a recent restart, a short way to the store. `docs/decisions/election.md`
//! gives the reasons.

use crate::model::Span;

/// Processor capacity in cores that a leader needs besides that for workers: callers'
/// requests and watches of the store.
const BASE_CORES: f64 = 0.04;

/// Processor capacity in cores that a leader needs for each worker. A leader was measured to
/// use 0.036 of a core for 48 workers on average and 0.417 for 1,100.
const CORES_PER_WORKER: f64 = 0.000_4;

/// Processor capacity in cores from which a host counts as strong enough for any number of
/// workers, also for one that is not known. Without this bound no host of a larger
/// deployment would be strong enough, and all of them would wait.
const MAX_NEEDED_CORES: f64 = 0.5;

/// Link speed in Mbit/s that a leader needs for each worker: two starts with a payload of
/// about one kilobyte, and two polls a second.
const LINK_MBPS_PER_WORKER: f64 = 0.06;

/// Link speed in Mbit/s that suffices for any number of workers, for the same reason as
/// [`MAX_NEEDED_CORES`].
const MAX_NEEDED_LINK_MBPS: f64 = 60.0;

/// Delay of a host without enough capacity. Exceeds the sum of the delays for a short link,
/// a long uptime and a long way to the store, and the 120 ms by which a host far from the
/// store may learn of the absence of a leader later and write its key later.
const WEAK_DELAY: Span = Span::from_millis(500);

/// Additional delay of a host without any capacity. Shrinks in proportion to the missing
/// capacity, so that the strongest of several weak hosts tends to win.
const MAX_SHORTFALL_DELAY: Span = Span::from_millis(150);

/// Delay of a host whose link is too slow. Exceeds the sum of [`UPTIME_DELAY`] and
/// [`MAX_DISTANCE_DELAY`].
const SLOW_LINK_DELAY: Span = Span::from_millis(200);

/// Uptime up to which a host counts as recently restarted.
pub(crate) const RECENT_RESTART: Span = Span::from_secs(20);

/// Delay of a host that was not recently restarted. During a rolling restart, a host that
/// was already restarted leads longest, and each change of the leader delays the tasks of
/// lost workers. Exceeds [`MAX_DISTANCE_DELAY`].
const UPTIME_DELAY: Span = Span::from_millis(100);

/// A host waits for this many round trips to the store, so that a host near it wins.
const ROUND_TRIP_FACTOR: u64 = 4;

/// Longest delay for the way to the store, reached at 20 ms a round trip. Bounds what a
/// single slow answer costs.
const MAX_DISTANCE_DELAY: Span = Span::from_millis(80);

/// Capacity of a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Strength {
    /// Processor capacity in cores.
    pub(crate) cores: f64,
    /// Speed of the network link in Mbit/s.
    pub(crate) link_mbps: f64,
}

impl Strength {
    /// What a leader of this number of workers needs; 0 if the number is not known.
    pub(crate) fn needed(workers: u32) -> Self {
        if workers == 0 {
            return Self {
                cores: MAX_NEEDED_CORES,
                link_mbps: MAX_NEEDED_LINK_MBPS,
            };
        }
        let count = f64::from(workers);
        Self {
            cores: (BASE_CORES + CORES_PER_WORKER * count).min(MAX_NEEDED_CORES),
            link_mbps: (LINK_MBPS_PER_WORKER * count).min(MAX_NEEDED_LINK_MBPS),
        }
    }

    /// Whether this capacity covers a need.
    #[cfg(test)]
    pub(crate) fn covers(self, need: Self) -> bool {
        self.cores >= need.cores && self.link_mbps >= need.link_mbps
    }
}

/// A host that may stand for election.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) strength: Strength,
    /// Time since the start of the process.
    pub(crate) uptime: Span,
    /// Time of a call to the store and back.
    pub(crate) round_trip: Span,
    /// Last known number of workers; 0 if it is not known.
    pub(crate) workers: u32,
}

impl Candidate {
    /// How long the host waits before it stands for election. At most about a second.
    pub(crate) fn delay(&self) -> Span {
        let need = Strength::needed(self.workers);
        let mut delay = self
            .round_trip
            .scale_up(ROUND_TRIP_FACTOR, 1)
            .min(MAX_DISTANCE_DELAY);
        if self.uptime > RECENT_RESTART {
            delay += UPTIME_DELAY;
        }
        if self.strength.link_mbps < need.link_mbps {
            delay += SLOW_LINK_DELAY;
        }
        if self.strength.cores < need.cores {
            let missing = 1.0 - (self.strength.cores / need.cores).clamp(0.0, 1.0);
            let shortfall = missing * MAX_SHORTFALL_DELAY.as_micros() as f64;
            delay += WEAK_DELAY + Span::from_micros(shortfall as u64);
        }
        delay
    }
}
