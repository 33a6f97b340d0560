//! Start and stop of the process.

use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;

use eyre::{Result, eyre};
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::callers::Calls;
use super::control::{Inspection, Readiness};
use super::peers::PeerCalls;
use super::serve::serve;
use super::state::{Node, sleep};
use super::watch::{Follow, News, follow};
use super::{HostSettings, election};
use crate::model::{DomainName, Span};
use crate::platform::{CONFIG_KEY, Client, EVACUATION_PREFIX, Item, decode_config, load_settings};
use crate::telemetry::Metrics;

/// What the command line says.
#[derive(Debug, Clone)]
pub struct NodeOptions {
    /// The settings file.
    pub settings: PathBuf,
    /// Port of the metrics and the state dump, on the host's own address.
    pub inspection: Option<u16>,
    /// Whether to check the settings and end.
    pub check: bool,
}

/// How the operator's keys are followed. The wait bounds how long a silent
/// connection can hide a change, which has to be in force within 2.5 s.
const OPERATOR: Follow = Follow {
    prefix: "op/",
    wait: Span::from_millis(1_000),
    pause: Span::from_millis(40),
};

/// Time in which the load balancer takes a host out of rotation: it asks every
/// second and needs two misses.
const ROTATION: Span = Span::from_millis(2_600);

/// Kept back from the time for a stop, so that the process ends by itself.
const STOP_MARGIN: Span = Span::from_millis(700);

/// Time between two looks at what is still in flight.
const STOP_STEP: Span = Span::from_millis(50);

/// Runs the process until it is told to stop.
pub fn run(options: &NodeOptions) -> Result<()> {
    let settings = load_settings(&options.settings)?;
    if options.check {
        return Ok(());
    }
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(serve_host(settings, options))
}

async fn serve_host(settings: HostSettings, options: &NodeOptions) -> Result<()> {
    let mut stop = signal(SignalKind::terminate())?;
    let mut reload = signal(SignalKind::hangup())?;
    let client = Client::new()?;
    let node = Arc::new(Node::new(settings, client, Metrics::new()?));
    let settings = &node.settings;
    log::info!(host:% = settings.host, domain:% = settings.domain, callers:% = settings.callers, peers:% = settings.peers, store:% = settings.store, version = env!("CARGO_PKG_VERSION"); "process started");
    tokio::spawn(follow_operator(node.clone()));
    tokio::spawn(election::observe(node.clone()));
    tokio::spawn(election::stand(node.clone()));
    let callers = serve("callers", settings.callers, Calls(node.clone()).routes());
    let readiness = serve(
        "the load balancer",
        settings.readiness,
        Readiness(node.clone()).routes(),
    );
    let peers = serve(
        "other hosts",
        settings.peers,
        PeerCalls(node.clone()).routes(),
    );
    if let Some(port) = options.inspection {
        let ip: IpAddr = settings.peers.ip();
        let address = SocketAddr::new(ip, port);
        serve("metrics", address, Inspection(node.clone()).routes());
    }
    tokio::select! {
        ended = callers => ended?.map_err(|e| eyre!(e)),
        ended = readiness => ended?.map_err(|e| eyre!(e)),
        ended = peers => ended?.map_err(|e| eyre!(e)),
        () = stopped(&node, &mut stop) => Ok(()),
        () = reloads(&node, &mut reload, &options.settings) => Ok(()),
    }
}

/// Waits for a stop and lets everything in flight be answered.
async fn stopped(node: &Node, stop: &mut Signal) {
    stop.recv().await;
    log::info!(inflight = node.inflight(), leading = node.lead().is_some(); "stop requested");
    node.drain();
    let began = node.now();
    let limit = node.settings.grace.saturating_sub(STOP_MARGIN);
    loop {
        let waited = node.now().since(began);
        let idle = node.inflight() == 0 && node.lead().is_none();
        if waited >= limit || (waited >= ROTATION && idle) {
            log::info!(waited:% = waited, inflight = node.inflight(); "process stopped");
            return;
        }
        sleep(STOP_STEP).await;
    }
}

/// Reads the settings again when told to. Addresses can't change while the
/// process runs; the platform restarts it for that.
async fn reloads(node: &Node, reload: &mut Signal, path: &Path) {
    while reload.recv().await.is_some() {
        match load_settings(path) {
            Ok(settings) => {
                log::info!(changed = settings != node.settings; "settings read again");
            }
            Err(error) => {
                log::error!(error:% = error; "settings not usable; the ones before stay in force");
            }
        }
    }
    std::future::pending().await
}

/// Follows the configuration and the evacuated domains.
async fn follow_operator(node: Arc<Node>) {
    let watcher = node.clone();
    follow(node, OPERATOR, move |news| {
        let (all, items) = match news {
            News::All(items) => (true, items),
            News::Changes(items) => (false, items),
        };
        if let Some(config) = items.iter().rfind(|i| i.key == CONFIG_KEY) {
            apply_config(&watcher, config);
        }
        watcher.change_evacuated(|domains| {
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
    })
    .await;
}

fn apply_config(node: &Node, item: &Item) {
    let Some(value) = &item.value else {
        log::warn!(key = item.key; "the configuration was removed; the one before stays in force");
        return;
    };
    match decode_config(value) {
        Ok(operator) => node.set_config(operator),
        Err(error) => {
            log::error!(key = item.key, error:% = error; "configuration can't be read; the one before stays in force");
        }
    }
}
