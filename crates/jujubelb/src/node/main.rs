//! Start, stop and settings of the process.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use eyre::{Result, eyre};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::callers::CallerApi;
use super::config_check::apply_config;
use super::monitoring::{MonitoringApi, Readiness, register_gauges};
use super::peers::PeerApi;
use super::relay::announce_host;
use super::serve::serve;
use super::state::{Node, sleep};
use super::supervision::supervise;
use super::watch::{
    EvidenceDemand, WatchEvent, WatchObserver, WatchOptions, WatchPosition, watch_prefix,
};
use super::{HostSettings, election};
use crate::model::{DomainName, Span, Time};
use crate::platform::{CONFIG_KEY, EVACUATION_PREFIX, KvClient, OPERATOR_PREFIX, load_settings};
use crate::telemetry::Metrics;

/// Options from the command line.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// Path of the settings file.
    pub settings_path: PathBuf,
    /// Port for the metrics and the state dump on the host's address; they aren't
    /// served if absent.
    pub metrics_port: Option<u16>,
    /// Whether to exit after checking the settings.
    pub check_only: bool,
}

/// Options for watching the operator's keys. The wait bounds how long a dead
/// connection can hide a change, which has to be active within 2.5 s.
const OPERATOR_KEYS: WatchOptions = WatchOptions {
    prefix: OPERATOR_PREFIX,
    wait: Span::from_millis(1_000),
    pause: Span::from_millis(40),
};

/// Time that the load balancer needs to take a host out of rotation: it checks
/// readiness every second and needs two failed checks.
const BALANCER_REACTION: Span = Span::from_millis(2_600);

/// Kept back from the grace period, so that the process ends before it is killed.
const STOP_MARGIN: Span = Span::from_millis(700);

/// Interval of closing the connections that have been idle for too long.
const IDLE_CHECK_INTERVAL: Span = Span::from_secs(2);

/// Interval of checking whether requests are still in flight.
const DRAIN_CHECK_INTERVAL: Span = Span::from_millis(50);

/// Runs the process until it receives SIGTERM.
pub fn run(options: &NodeOptions) -> Result<()> {
    let settings = load_settings(&options.settings_path)?;
    if options.check_only {
        return Ok(());
    }
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(run_host(settings, options))
}

async fn run_host(settings: HostSettings, options: &NodeOptions) -> Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let kv = KvClient::new(settings.store_address);
    let node = Arc::new(Node::new(settings, kv, Metrics::new()?));
    let settings = &node.settings;
    log::info!(host:% = settings.host, domain:% = settings.domain, callers:% = settings.caller_address, peers:% = settings.peer_address, store:% = settings.store_address, version = env!("CARGO_PKG_VERSION"); "process started");
    start_loop(&node, "watch of the operator's keys", watch_operator_keys);
    start_loop(&node, "watch of the leader", election::watch_leader);
    start_loop(&node, "election", election::run_elections);
    start_loop(&node, "announcement to the leader", announce_host);
    start_loop(&node, "closing of idle connections", close_idle_connections);
    let callers = serve(
        "callers",
        settings.caller_address,
        CallerApi(node.clone()).routes(),
    );
    let readiness = serve(
        "the load balancer",
        settings.readiness_address,
        Readiness(node.clone()).routes(),
    );
    let peers = serve(
        "other hosts",
        settings.peer_address,
        PeerApi(node.clone()).routes(),
    );
    register_gauges(&node);
    if let Some(port) = options.metrics_port {
        let ip: IpAddr = settings.peer_address.ip();
        let address = SocketAddr::new(ip, port);
        serve("metrics", address, MonitoringApi(node.clone()).routes());
    }
    tokio::select! {
        ended = callers => ended?.map_err(|e| eyre!(e)),
        ended = readiness => ended?.map_err(|e| eyre!(e)),
        ended = peers => ended?.map_err(|e| eyre!(e)),
        () = drain_on_stop(&node, &mut stop) => Ok(()),
        () = check_settings_on_reload(&node, &mut reload, &options.settings_path) => Ok(()),
    }
}

/// Starts a loop that runs as long as the process.
fn start_loop<F: Future<Output = ()> + Send + 'static>(
    node: &Arc<Node>,
    name: &'static str,
    run: impl Fn(Arc<Node>) -> F + Send + Sync + 'static,
) {
    let node = node.clone();
    tokio::spawn(async move { supervise(name, || run(node.clone())).await });
}

/// Closes connections that have been idle for too long. Never returns.
async fn close_idle_connections(node: Arc<Node>) {
    loop {
        sleep(IDLE_CHECK_INTERVAL).await;
        node.client.close_unused();
        node.workers.close_unused();
        node.kv.close_unused();
    }
}

/// Waits for the stop signal, then drains: returns when the load balancer has taken
/// the host out of rotation, no request is in flight and the term has ended, or at
/// the end of the grace period.
async fn drain_on_stop(node: &Node, stop: &mut Signal) {
    stop.recv().await;
    log::info!(inflight = node.inflight(), leading = node.active_term().is_some(); "stop requested");
    node.drain();
    let began = node.now();
    let limit = node.settings.stop_grace.saturating_sub(STOP_MARGIN);
    loop {
        let waited = node.now().since(began);
        let idle = node.inflight() == 0 && node.active_term().is_none();
        if waited >= limit || (waited >= BALANCER_REACTION && idle) {
            log::info!(waited:% = waited, inflight = node.inflight(); "process stopped");
            return;
        }
        sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Reads the settings again on each SIGHUP and logs the result. Changes aren't
/// applied: addresses can't change while the process runs, and the platform restarts
/// it for that.
async fn check_settings_on_reload(node: &Node, reload: &mut Signal, path: &Path) {
    while reload.recv().await.is_some() {
        match load_settings(path) {
            Ok(settings) => {
                log::info!(changed = settings != node.settings; "settings read again");
            }
            Err(error) => {
                log::error!(error:% = error; "settings can't be used; the previous ones stay active");
            }
        }
    }
    std::future::pending().await
}

/// Watches the configuration and the evacuated domains.
pub(super) async fn watch_operator_keys(node: Arc<Node>) {
    let observer = OperatorKeys(node.clone());
    watch_prefix(node, OPERATOR_KEYS, WatchPosition::default(), observer).await;
}

/// Takes the operator's keys into the state of the process.
struct OperatorKeys(Arc<Node>);

impl WatchObserver for OperatorKeys {
    fn apply(&mut self, event: WatchEvent) {
        apply_operator_keys(&self.0, event);
    }

    fn answered(&mut self, sent: Time) {
        self.0.confirm_config(sent);
        self.0.confirm_evacuated(sent);
    }

    fn demand(&self) -> Option<&EvidenceDemand> {
        Some(&self.0.operator_demand)
    }
}

/// Applies the configuration and the evacuated domains. What a snapshot does not hold was
/// withdrawn, except for the configuration, of which the last one stays active.
pub(super) fn apply_operator_keys(node: &Node, event: WatchEvent) {
    let (all, items) = match event {
        WatchEvent::Snapshot(items) => (true, items),
        WatchEvent::Changes(items) => (false, items),
    };
    if let Some(config) = items.iter().rfind(|i| i.key == CONFIG_KEY) {
        apply_config(node, config);
    }
    if let Some(item) = items.iter().find(|i| i.key.is_empty()) {
        // It may be a newer configuration.
        node.mark_config_doubtful(item.revision);
    }
    node.change_evacuated(|domains| {
        if all {
            domains.clear();
        }
        for item in &items {
            let Some(domain) = item.key.strip_prefix(EVACUATION_PREFIX) else {
                continue;
            };
            let domain = DomainName::new(domain);
            match item.value {
                Some(_) => {
                    domains.insert(domain);
                }
                None => {
                    domains.shift_remove(&domain);
                }
            }
        }
    });
    if all {
        node.set_operator_state_known();
    }
}
