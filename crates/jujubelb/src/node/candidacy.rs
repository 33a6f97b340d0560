//! Which host should lead: how long a host waits before it stands for election, and when a
//! leader that is too weak hands over. Pure decisions; the present time is an argument.
//!
//! The order of preference is: enough processor capacity for the number of workers, enough
//! link speed, a recent restart, a short way to the store. `docs/decisions/election.md`
//! gives the reasons.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::relay::HostReport;
use crate::model::{HostName, Span, Time};

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

/// Share of the needed capacity below which a leader hands over. The gap to the whole need,
/// which its successor must have, keeps leaders from changing when the number of workers
/// varies by less than two fifths.
const HANDOVER_SHARE: f64 = 0.7;

/// How long a successor must have been known to be strong enough, and a term must have
/// lasted, before the leader hands over. Filters out hosts that come and go.
const STABLE: Span = Span::from_secs(3);

/// Shortest term that hands over if the previous term has handed over as well. Bounds the
/// changes of the leader if the election is won by another weak host each time.
pub(crate) const HANDOVER_INTERVAL: Span = Span::from_secs(20);

/// Time without a failed call to the store before a leader hands over.
const STORE_CALM: Span = Span::from_secs(3);

/// Time after which a host that has not announced itself again is no successor. Longer than
/// the longest interval of announcements.
const ANNOUNCEMENT_LIFETIME: Span = Span::from_secs(7);

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

/// What a host tells the leader about itself as a possible successor. Hosts that run an
/// older version tell nothing; the default makes them no successors.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Eligibility {
    /// Speed of the network link in Mbit/s.
    pub(crate) link_mbps: f64,
    /// Whether the host's last calls to the store were answered.
    pub(crate) store_reachable: bool,
}

/// A leader and its term, as far as they matter for handing over.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Incumbent {
    pub(crate) strength: Strength,
    /// Number of workers; 0 if it is not known yet.
    pub(crate) workers: u32,
    /// Time since the term began.
    pub(crate) term_age: Span,
    /// Whether the previous term ended by handing over.
    pub(crate) after_handover: bool,
    /// Time since the last failed call to the store, or since the start of the process.
    pub(crate) store_calm: Span,
}

impl Incumbent {
    /// Whether the leader is too weak and may hand over now.
    fn may_hand_over(&self) -> bool {
        let shortest_term = match self.after_handover {
            true => HANDOVER_INTERVAL,
            false => STABLE,
        };
        self.workers > 0
            && self.strength.cores < Strength::needed(self.workers).cores * HANDOVER_SHARE
            && self.term_age >= shortest_term
            && self.store_calm >= STORE_CALM
    }
}

#[derive(Debug, Clone, Copy)]
struct Successor {
    strength: Strength,
    /// Time of the first of its announcements without a gap. Each of them said that the host
    /// is able to lead.
    able_since: Time,
    announced: Time,
}

/// Hosts that are able to succeed the leader.
#[derive(Debug, Default)]
pub(crate) struct Successors(IndexMap<HostName, Successor>);

impl Successors {
    /// Records the announcement of a host.
    pub(crate) fn announced(&mut self, report: &HostReport, eligibility: Eligibility, now: Time) {
        if report.draining || !eligibility.store_reachable {
            self.0.swap_remove(&report.host);
            return;
        }
        let known = self.0.get(&report.host);
        let without_gap = known.filter(|k| now.since(k.announced) < ANNOUNCEMENT_LIFETIME);
        let successor = Successor {
            strength: Strength {
                cores: report.cores,
                link_mbps: eligibility.link_mbps,
            },
            able_since: without_gap.map_or(now, |k| k.able_since),
            announced: now,
        };
        self.0.insert(report.host.clone(), successor);
    }

    /// The host for which the leader should make room, if any: the strongest one that
    /// covers the need.
    pub(crate) fn choose(&mut self, incumbent: &Incumbent, now: Time) -> Option<HostName> {
        self.0
            .retain(|_, s| now.since(s.announced) < ANNOUNCEMENT_LIFETIME);
        if !incumbent.may_hand_over() {
            return None;
        }
        let need = Strength::needed(incumbent.workers);
        self.0
            .iter()
            .filter(|(_, s)| s.strength.covers(need) && now.since(s.able_since) >= STABLE)
            .max_by(|(_, a), (_, b)| a.strength.cores.total_cmp(&b.strength.cores))
            .map(|(host, _)| host.clone())
    }
}
