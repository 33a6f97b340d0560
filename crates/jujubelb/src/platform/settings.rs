//! The settings file that the platform writes for each process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use eyre::{Context, OptionExt, Result};
use serde::Deserialize;

use super::numbers::{Millis, Ratio, Seconds};
use crate::dispatch::Bounds;
use crate::model::{DomainName, HostName, Span};
use crate::node::{HostSettings, Revocation};

/// Environment variable with the path of the settings file.
pub const SETTINGS_PATH_VARIABLE: &str = "JUJUBELB_BOOT";

#[derive(Debug, Deserialize)]
struct WireSettings {
    node_name: HostName,
    ip: IpAddr,
    zone: DomainName,
    /// First and last port for calls between the hosts of the system.
    internal_ports: (u16, u16),
    bind_addresses: WireAddresses,
    limits: WireLimits,
    bounds: WireBounds,
    platform: WirePlatform,
    /// Address of the policy service; empty if the deployment has none.
    #[serde(default)]
    advice: String,
}

#[derive(Debug, Deserialize)]
struct WireAddresses {
    /// For callers' requests.
    frontend: SocketAddr,
    readiness: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct WireLimits {
    /// Share of each core that the host may use.
    cpu_share: Ratio,
    #[serde(default = "one_core")]
    cores: Ratio,
    /// Speed of the host's network link.
    #[serde(default = "default_link")]
    link_mbps: Ratio,
}

/// Assumed speed of a link whose speed the settings don't name, in Mbit/s.
fn default_link() -> Ratio {
    Ratio(1_000.0)
}

fn one_core() -> Ratio {
    Ratio(1.0)
}

#[derive(Debug, Deserialize)]
struct WireBounds {
    /// Time from the stop signal until the platform kills the process.
    grace_s: Seconds,
    /// Longest lease of what runs on a worker.
    hold_max_ms: Millis,
    /// Longest time that stopping a run takes.
    stop_ms: Millis,
    /// Time after its acknowledgement from which a configuration has to be in force.
    #[serde(default = "default_config_bound")]
    config_ms: Millis,
    /// Whether no call is served whose key may have been withdrawn.
    #[serde(default)]
    revoke_strict: bool,
    /// Time after its acknowledgement from which the withdrawal of a key has to be in force.
    revoke_ms: Option<Millis>,
    /// Time after its acknowledgement from which nothing may start in an evacuated domain.
    #[serde(default = "default_evacuation_bound")]
    evacuation_ms: Millis,
    /// Time after its acknowledgement from which nothing may start on a draining worker.
    #[serde(default = "default_drain_bound")]
    drain_ms: Millis,
    /// How early an occurrence may start.
    #[serde(default)]
    early_ms: Millis,
    /// Factor by which a task takes longer away from its data.
    #[serde(default = "no_factor")]
    remote_factor: Ratio,
}

/// Bound of deployments whose settings name none.
fn default_config_bound() -> Millis {
    Millis(Span::from_millis(2_500))
}

/// Bound of deployments whose settings name none.
fn default_evacuation_bound() -> Millis {
    Millis(Span::from_secs(5))
}

/// Bound of deployments whose settings name none.
fn default_drain_bound() -> Millis {
    Millis(Span::from_millis(2_500))
}

fn no_factor() -> Ratio {
    Ratio(1.0)
}

#[derive(Debug, Deserialize)]
struct WirePlatform {
    /// Address of the store.
    address: SocketAddr,
    /// Shortest lease that the store grants.
    #[serde(default = "shortest_lease")]
    ttl_min_ms: Millis,
}

fn shortest_lease() -> Millis {
    Millis(Span::from_secs(1))
}

/// Reads the settings file.
pub fn load(path: &Path) -> Result<HostSettings> {
    let text = std::fs::read_to_string(path)
        .wrap_err_with(|| format!("the settings file {} can't be read", path.display()))?;
    decode(&text).wrap_err_with(|| format!("the settings file {} is not valid", path.display()))
}

/// Decodes the text of a settings file.
pub(crate) fn decode(text: &str) -> Result<HostSettings> {
    let wire: WireSettings = toml::from_str(text)?;
    let (first, last) = wire.internal_ports;
    (first <= last).then_some(()).ok_or_eyre(
        "internal_ports must be a pair of ports, the first one not above the last one",
    )?;
    Ok(HostSettings {
        host: wire.node_name,
        domain: wire.zone,
        caller_address: wire.bind_addresses.frontend,
        readiness_address: wire.bind_addresses.readiness,
        peer_address: SocketAddr::new(wire.ip, first),
        store_address: wire.platform.address,
        policy_address: match wire.advice.as_str() {
            "" => None,
            text => Some(
                text.parse()
                    .wrap_err("advice must be an IP address with a port")?,
            ),
        },
        min_lease_ttl: wire.platform.ttl_min_ms.0,
        cpu_cores: wire.limits.cpu_share.0 * wire.limits.cores.0.max(1.0),
        link_mbps: wire.limits.link_mbps.0,
        stop_grace: wire.bounds.grace_s.0,
        config_bound: wire.bounds.config_ms.0,
        revocation: Revocation {
            strict: wire.bounds.revoke_strict,
            bound: wire.bounds.revoke_ms.unwrap_or(wire.bounds.config_ms).0,
        },
        bounds: Bounds {
            max_lease: wire.bounds.hold_max_ms.0,
            max_stop: wire.bounds.stop_ms.0,
            max_early_start: wire.bounds.early_ms.0,
            remote_factor: wire.bounds.remote_factor.0,
            evacuation: wire.bounds.evacuation_ms.0,
            drain: wire.bounds.drain_ms.0,
        },
    })
}
