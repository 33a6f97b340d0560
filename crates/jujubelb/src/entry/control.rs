//! The thread that brings news to the router and takes its reports out.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::EntryProcess;
use crate::hosts::HostListView;
use crate::model::{Code, NodeName, Record, ShardName, Span, Time};
use crate::peer::{Call, News, Reply, Role};
use crate::place::LatencyReport;
use crate::process::{ConfigNews, Running};
use crate::telemetry::Inbox;

/// Longest wait for news.
const STEP: Span = Span::from_millis(100);

/// Interval of reports to shard owners.
const REPORT_EVERY: Span = Span::from_millis(1_000);

/// Records in one call to an owner. A call is limited to 256 KiB and a record has some 300 bytes.
const BATCH: usize = 256;

/// Records that wait for an owner.
const WAITING: usize = 2_000;

/// Time for a report. The next one follows after a second.
const PATIENCE: Span = Span::from_millis(1_000);

/// State of the thread.
pub(super) struct Control {
    pub(super) entry: Arc<EntryProcess>,
    pub(super) config: Inbox<ConfigNews>,
    pub(super) peers: Inbox<News>,
    pub(super) hosts: Inbox<HostListView>,
    view: HostListView,
    reported: Time,
    waiting: Vec<Record>,
}

impl Control {
    pub(super) fn new(
        entry: Arc<EntryProcess>,
        config: Inbox<ConfigNews>,
        peers: Inbox<News>,
        hosts: Inbox<HostListView>,
    ) -> Self {
        Self {
            entry,
            config,
            peers,
            hosts,
            view: HostListView::default(),
            reported: Time::ZERO,
            waiting: Vec::new(),
        }
    }

    /// Runs until the process ends.
    pub(super) fn run(mut self, running: &Running) {
        self.config.wake_here();
        self.peers.wake_here();
        self.hosts.wake_here();
        while running.goes_on() {
            self.take_news();
            self.tell_load();
            let now = self.entry.process.clock.now();
            if now.since(self.reported) >= REPORT_EVERY {
                self.reported = now;
                self.report(Span::ZERO);
            }
            running.wait(STEP);
        }
        // What was noted in the last second counts as over.
        self.report(Span::from_secs(1));
    }

    fn take_news(&mut self) {
        let mut changed = false;
        while let Some(news) = self.config.pop() {
            if let ConfigNews::Config(config) = news {
                self.entry.desk.decide(|now, state| {
                    state.router.configure(now, &config);
                    state.sets.configure(now, config.hosts.keys().cloned());
                });
                changed = true;
            }
        }
        while let Some(view) = self.hosts.pop() {
            self.view = view;
            changed = true;
        }
        if changed {
            let leaving = self.leaving();
            self.entry
                .desk
                .decide(|now, state| state.router.update_host_list(now, leaving));
        }
        while let Some(news) = self.peers.pop() {
            self.take_peer(news);
        }
    }

    /// Addresses of endpoints on hosts that are leaving.
    fn leaving(&self) -> IndexSet<std::net::SocketAddr> {
        let config = self.entry.process.board.config();
        let endpoints = config.services.values().flat_map(|s| s.endpoints.values());
        endpoints
            .map(|endpoint| endpoint.address)
            .filter(|address| self.view.is_leaving(*address))
            .collect()
    }

    fn take_peer(&self, news: News) {
        self.entry.desk.decide(|now, state| match news {
            News::Beat(beat) if beat.role == Role::Entry => {
                state.router.update_peer_load(now, &beat.node, &beat.loads);
            }
            // Its former requests ended with it.
            News::Restarted(node, _) => state.router.peer_stopped(now, &node),
            // A process that is cut off may still use its shares, so these stay
            // with it until the router finds its report too old.
            News::Beat(_) | News::Gone(_) => {}
        });
    }

    fn tell_load(&self) {
        let loads = self
            .entry
            .desk
            .decide(|now, state| state.router.endpoint_loads(now));
        self.entry.peers.tell(|beat| beat.loads = loads);
    }

    /// Sends what the router noted up to the present and a time after it.
    fn report(&mut self, ahead: Span) {
        let (notes, latencies) = self.entry.desk.decide(|now, state| {
            let notes = state.router.take_decisions(now + ahead);
            (notes, state.router.take_latency_reports(now))
        });
        let process = &self.entry.process;
        let (now, revision) = (process.clock.now(), process.board.revision());
        for note in notes {
            let at = crate::telemetry::Clock::wall() - now.since(note.at);
            let record = note.into_record(process.records.next_id(), at, revision);
            process.records.keep(record.clone());
            if self.waiting.len() < WAITING {
                self.waiting.push(record);
            }
        }
        self.send_records();
        self.send_latencies(latencies);
    }

    /// Sends records to an owner of a shard, one of this domain first.
    fn send_records(&mut self) {
        if self.waiting.is_empty() {
            return;
        }
        let Some(owner) = self.nearest_owner() else {
            return;
        };
        let count = self.waiting.len().min(BATCH);
        let batch: Vec<_> = self.waiting[..count].to_vec();
        match self
            .entry
            .peers
            .call_blocking(&owner, Call::Records(batch), PATIENCE)
        {
            Ok(Reply::Code(Code::Done, _)) => drop(self.waiting.drain(..count)),
            Ok(_) => log::debug!(peer:% = owner; "records were not taken"),
            Err(error) => {
                log::debug!(peer:% = owner, error:% = error; "records could not be sent");
            }
        }
    }

    fn nearest_owner(&self) -> Option<NodeName> {
        let domain = &self.entry.process.settings.domain;
        let members = self.entry.peers.present();
        let owners = members.iter().filter(|m| !m.beat.shards.is_empty());
        let nearest = owners.min_by_key(|m| (m.beat.domain != *domain, &m.beat.node));
        nearest.map(|member| member.beat.node.clone())
    }

    fn send_latencies(&self, reports: Vec<LatencyReport>) {
        let config = self.entry.process.board.config();
        let mut by_shard: IndexMap<ShardName, Vec<LatencyReport>> = IndexMap::new();
        for report in reports {
            if let Some(shard) = config.shard_of(&report.worker) {
                by_shard.entry(shard.clone()).or_default().push(report);
            }
        }
        for (shard, reports) in by_shard {
            let Some(owner) = self.entry.peers.owner_of(&shard) else {
                continue;
            };
            let peers = self.entry.peers.clone();
            let call = Call::Latency(reports);
            self.entry.peers.spawn(async move {
                if let Err(error) = peers.call(&owner, call, PATIENCE).await {
                    log::debug!(peer:% = owner, error:% = error; "latencies could not be sent");
                }
            });
        }
    }
}
