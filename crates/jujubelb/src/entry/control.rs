//! The control thread: applies events to the router and sends the router's reports.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};

use super::EntryProcess;
use crate::hosts::HostListView;
use crate::model::{Code, NodeName, Record, ShardName, Span, Time};
use crate::peer::{Call, PeerEvent, Reply, Role};
use crate::place::LatencyReport;
use crate::process::{ConfigEvent, Running};
use crate::telemetry::QueueReceiver;

/// Maximum time between two checks for events.
const MAX_EVENT_WAIT: Span = Span::from_millis(100);

/// Interval of the reports to shard owners.
const REPORT_INTERVAL: Span = Span::from_millis(1_000);

/// Maximum number of records in a call to an owner. A call is limited to 256 KiB, and a
/// record has some 300 bytes.
const MAX_RECORDS_PER_CALL: usize = 256;

/// Maximum number of records that wait for being sent; further ones are only kept here.
const MAX_UNSENT_RECORDS: usize = 2_000;

/// Time for sending a report; the next one is due after [`REPORT_INTERVAL`].
const REPORT_TIMEOUT: Span = Span::from_millis(1_000);

/// State of the control thread.
pub(super) struct ControlThread {
    pub(super) entry: Arc<EntryProcess>,
    pub(super) config: QueueReceiver<ConfigEvent>,
    pub(super) peers: QueueReceiver<PeerEvent>,
    pub(super) hosts: QueueReceiver<HostListView>,
    host_list: HostListView,
    last_report: Time,
    unsent_records: Vec<Record>,
}

impl ControlThread {
    pub(super) fn new(
        entry: Arc<EntryProcess>,
        config: QueueReceiver<ConfigEvent>,
        peers: QueueReceiver<PeerEvent>,
        hosts: QueueReceiver<HostListView>,
    ) -> Self {
        Self {
            entry,
            config,
            peers,
            hosts,
            host_list: HostListView::default(),
            last_report: Time::ZERO,
            unsent_records: Vec::new(),
        }
    }

    /// Runs until the process stops.
    pub(super) fn run(mut self, running: &Running) {
        self.config.register_reader();
        self.peers.register_reader();
        self.hosts.register_reader();
        while running.is_active() {
            self.handle_events();
            self.publish_loads();
            let now = self.entry.process.clock.now();
            if now.since(self.last_report) >= REPORT_INTERVAL {
                self.last_report = now;
                self.report(Span::ZERO);
            }
            running.wait(MAX_EVENT_WAIT);
        }
        // Includes the decisions of the current second.
        self.report(Span::from_secs(1));
    }

    fn handle_events(&mut self) {
        let mut changed = false;
        while let Some(news) = self.config.pop() {
            if let ConfigEvent::Config(config) = news {
                self.entry.shared_router.with_state(|now, state| {
                    state.router.configure(now, &config);
                    state.sets.configure(now, config.hosts.keys().cloned());
                });
                changed = true;
            }
        }
        while let Some(view) = self.hosts.pop() {
            self.host_list = view;
            changed = true;
        }
        if changed {
            let leaving = self.leaving_addresses();
            self.entry
                .shared_router
                .with_state(|now, state| state.router.update_host_list(now, leaving));
        }
        while let Some(news) = self.peers.pop() {
            self.handle_peer_event(news);
        }
    }

    /// Addresses of endpoints that the host list lists as leaving.
    fn leaving_addresses(&self) -> IndexSet<std::net::SocketAddr> {
        let config = self.entry.process.active_config.config();
        let endpoints = config.services.values().flat_map(|s| s.endpoints.values());
        endpoints
            .map(|endpoint| endpoint.address)
            .filter(|address| self.host_list.is_leaving(*address))
            .collect()
    }

    fn handle_peer_event(&self, news: PeerEvent) {
        self.entry
            .shared_router
            .with_state(|now, state| match news {
                PeerEvent::Heartbeat(beat) if beat.role == Role::Entry => {
                    state.router.update_peer_load(now, &beat.node, &beat.loads);
                }
                // Requests of the former incarnation ended with it.
                PeerEvent::Restarted(node, _) => state.router.peer_stopped(now, &node),
                // A partitioned process may still use its shares, so they are kept for it
                // until the router considers its data stale.
                PeerEvent::Heartbeat(_) | PeerEvent::Gone(_) => {}
            });
    }

    fn publish_loads(&self) {
        let loads = self
            .entry
            .shared_router
            .with_state(|now, state| state.router.endpoint_loads(now));
        self.entry.peers.update_heartbeat(|beat| beat.loads = loads);
    }

    /// Sends the router's decisions of all seconds that are over at `ahead` from now, and
    /// its latencies.
    fn report(&mut self, ahead: Span) {
        let (decisions, latencies) = self.entry.shared_router.with_state(|now, state| {
            let decisions = state.router.take_decisions(now + ahead);
            (decisions, state.router.take_latency_reports(now))
        });
        let process = &self.entry.process;
        let (now, revision) = (process.clock.now(), process.active_config.revision());
        for decision in decisions {
            let at = crate::telemetry::Clock::wall() - now.since(decision.at);
            let record = decision.into_record(process.records.next_id(), at, revision);
            process.records.add(record.clone());
            if self.unsent_records.len() < MAX_UNSENT_RECORDS {
                self.unsent_records.push(record);
            }
        }
        self.send_records();
        self.send_latencies(latencies);
    }

    /// Sends records to the owner of any shard, preferably in this failure domain.
    fn send_records(&mut self) {
        if self.unsent_records.is_empty() {
            return;
        }
        let Some(owner) = self.nearest_owner() else {
            return;
        };
        let count = self.unsent_records.len().min(MAX_RECORDS_PER_CALL);
        let batch: Vec<_> = self.unsent_records[..count].to_vec();
        match self
            .entry
            .peers
            .call_blocking(&owner, Call::Records(batch), REPORT_TIMEOUT)
        {
            Ok(Reply::Code(Code::Done, _)) => drop(self.unsent_records.drain(..count)),
            Ok(_) => {
                log::debug!(peer:% = owner; "the owner did not accept decision records, they are sent again")
            }
            Err(error) => {
                log::debug!(peer:% = owner, error:% = error; "decision records could not be sent, they are sent again");
            }
        }
    }

    fn nearest_owner(&self) -> Option<NodeName> {
        let domain = &self.entry.process.settings.domain;
        let members = self.entry.peers.present();
        let owners = members.iter().filter(|m| !m.heartbeat.shards.is_empty());
        let nearest = owners.min_by_key(|m| (m.heartbeat.domain != *domain, &m.heartbeat.node));
        nearest.map(|member| member.heartbeat.node.clone())
    }

    fn send_latencies(&self, reports: Vec<LatencyReport>) {
        let config = self.entry.process.active_config.config();
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
if let Err(error) = peers.call(&owner, call, REPORT_TIMEOUT).await {
log::debug!(peer:% = owner, error:% = error; "latency reports could not be sent");
}
});
        }
    }
}
