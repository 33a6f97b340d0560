//! Choice of the hosts that call workers for the leader. Pure decisions; the present time
//! is an argument.

use std::hash::{DefaultHasher, Hash, Hasher};

use indexmap::IndexMap;

use super::message::HostReport;
use crate::model::{DomainName, HostName, Span, Time, WorkerName};

/// Number of workers up to which the leader's processor suffices for all calls. Answers
/// the load of about two starts and two polls a second for each worker, which take a host
/// of half a core a fifth of it at this number.
const MAX_DIRECT_WORKERS: usize = 400;

/// Workers for each relay. Their calls take about a tenth of half a core.
const WORKERS_PER_RELAY: usize = 100;

/// Traffic of the calls to one worker in Mbit/s: two starts with a payload of about one
/// kilobyte, and two polls a second.
const WORKER_TRAFFIC_MBPS: f64 = 0.06;

/// Share of a link that calls to workers may take on average. Starts come in bursts of
/// whole jobs, and callers' requests share the link.
const LINK_SHARE: f64 = 0.3;

/// Share of the best host's capacity that a host must have to become a relay.
const MIN_CAPACITY_SHARE: f64 = 0.5;

/// Time after which a host that has not announced itself again is not used any more. Longer
/// than both intervals, so that one lost announcement does not matter.
pub(crate) const REPORT_LIFETIME: Span = Span::from_secs(8);

/// Time for which a host is not used after calls through it have failed.
pub(crate) const SUSPENSION: Span = Span::from_secs(5);

/// Interval at which hosts announce themselves while relays are needed.
const ANNOUNCE_INTERVAL: Span = Span::from_secs(2);

/// Interval at which hosts announce themselves otherwise.
const IDLE_ANNOUNCE_INTERVAL: Span = Span::from_secs(5);

/// Whether the leader needs relays for this number of workers, with a link of this speed.
pub(crate) fn needs_relays(workers: usize, link_mbps: f64) -> bool {
    workers > MAX_DIRECT_WORKERS || workers as f64 * WORKER_TRAFFIC_MBPS > link_mbps * LINK_SHARE
}

/// Number of relays for the workers of a failure domain. Assumes that relays have links of
/// the speed of the leader's.
fn relay_count(workers: usize, link_mbps: f64) -> usize {
    let by_link = workers as f64 * WORKER_TRAFFIC_MBPS / (link_mbps * LINK_SHARE).max(0.01);
    workers
        .div_ceil(WORKERS_PER_RELAY)
        .max(by_link.ceil() as usize)
        .max(1)
}

/// Interval after which a host is to announce itself again. `workers` is 0 while the leader
/// does not know them yet.
pub(crate) fn announce_interval(workers: usize, link_mbps: f64) -> Span {
    match workers == 0 || needs_relays(workers, link_mbps) {
        true => ANNOUNCE_INTERVAL,
        false => IDLE_ANNOUNCE_INTERVAL,
    }
}

/// A host that has announced itself.
#[derive(Debug)]
struct KnownHost {
    report: HostReport,
    reported: Time,
    /// End of the suspension after failed calls.
    suspended_until: Time,
}

/// Hosts that have announced themselves to the leader.
#[derive(Debug, Default)]
pub(crate) struct KnownHosts(IndexMap<HostName, KnownHost>);

impl KnownHosts {
    /// Records a host's report.
    pub(crate) fn announced(&mut self, report: HostReport, now: Time) {
        let suspended_until = self
            .0
            .get(&report.host)
            .map_or(Time::ZERO, |known| known.suspended_until);
        let known = KnownHost {
            report,
            reported: now,
            suspended_until,
        };
        self.0.insert(known.report.host.clone(), known);
    }

    /// Records that calls through a host have failed.
    pub(crate) fn suspend(&mut self, host: &HostName, now: Time) {
        if let Some(known) = self.0.get_mut(host) {
            known.suspended_until = now + SUSPENSION;
        }
    }

    /// The reports of the hosts that have announced themselves recently.
    pub(crate) fn reports(&mut self, now: Time) -> Vec<HostReport> {
        self.0
            .retain(|_, known| now.since(known.reported) < REPORT_LIFETIME);
        self.0.values().map(|known| known.report.clone()).collect()
    }

    /// Chooses the relays for the workers of each failure domain: the strongest hosts of
    /// the domain, or of any domain if it has none. Empty while the leader needs no relays.
    pub(crate) fn select(
        &mut self,
        workers: &IndexMap<DomainName, usize>,
        link_mbps: f64,
        now: Time,
    ) -> IndexMap<DomainName, Vec<HostReport>> {
        self.0
            .retain(|_, known| now.since(known.reported) < REPORT_LIFETIME);
        if !needs_relays(workers.values().sum(), link_mbps) {
            return IndexMap::new();
        }
        let mut usable: Vec<&HostReport> = self
            .0
            .values()
            .filter(|known| !known.report.draining && known.suspended_until <= now)
            .map(|known| &known.report)
            .collect();
        let best = usable.iter().map(|r| r.cores).fold(0.0, f64::max);
        usable.retain(|r| r.cores >= best * MIN_CAPACITY_SHARE);
        usable.sort_by(|a, b| b.cores.total_cmp(&a.cores).then(a.host.cmp(&b.host)));
        let choose = |domain: &DomainName, count: usize| -> Vec<HostReport> {
            let wanted = relay_count(count, link_mbps);
            let near = usable.iter().filter(|r| r.domain == *domain);
            let mut chosen: Vec<HostReport> = near.take(wanted).map(|r| (*r).clone()).collect();
            if chosen.is_empty() {
                chosen = usable.iter().take(wanted).map(|r| (*r).clone()).collect();
            }
            chosen
        };
        workers
            .iter()
            .map(|(domain, count)| (domain.clone(), choose(domain, *count)))
            .filter(|(_, chosen)| !chosen.is_empty())
            .collect()
    }
}

/// Relay of a worker among those of its domain: the one with the highest hash of both
/// names, so that few workers change their relay when a relay comes or goes.
pub(crate) fn relay_of<'a>(
    worker: &WorkerName,
    relays: &'a [HostReport],
) -> Option<&'a HostReport> {
    let weight = |report: &&HostReport| {
        let mut hasher = DefaultHasher::new();
        (worker.as_str(), report.host.as_str()).hash(&mut hasher);
        hasher.finish()
    };
    relays.iter().max_by_key(weight)
}
