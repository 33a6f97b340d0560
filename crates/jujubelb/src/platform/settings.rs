//! The settings file that the platform writes for each process.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use eyre::{Context, OptionExt, Result};
use serde::Deserialize;

use crate::dispatch::Bounds;
use crate::model::{DomainName, HostName, Span};
use crate::node::HostSettings;

/// Environment variable with the path of the file.
pub const BOOT_VARIABLE: &str = "JUJUBELB_BOOT";

#[derive(Debug, Deserialize)]
struct WireSettings {
    node_name: HostName,
    ip: IpAddr,
    zone: DomainName,
    /// First and last port for calls between our own processes.
    internal_ports: (u16, u16),
    bind_addresses: WireAddresses,
    limits: WireLimits,
    bounds: WireBounds,
    platform: WirePlatform,
    /// The policy service for queues that have one; empty where there is none.
    #[serde(default)]
    advice: String,
}

#[derive(Debug, Deserialize)]
struct WireAddresses {
    frontend: SocketAddr,
    readiness: SocketAddr,
}

#[derive(Debug, Deserialize)]
struct WireLimits {
    cpu_share: f64,
    #[serde(default = "one_core")]
    cores: f64,
}

fn one_core() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
struct WireBounds {
    grace_s: f64,
    hold_max_ms: f64,
    stop_ms: f64,
    #[serde(default)]
    early_ms: f64,
    #[serde(default = "no_factor")]
    remote_factor: f64,
}

fn no_factor() -> f64 {
    1.0
}

#[derive(Debug, Deserialize)]
struct WirePlatform {
    address: SocketAddr,
    #[serde(default = "shortest_lease")]
    ttl_min_ms: f64,
}

fn shortest_lease() -> f64 {
    1_000.0
}

fn millis(ms: f64) -> Span {
    Span::from_micros((ms.max(0.0) * 1e3) as u64)
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
    (first <= last)
        .then_some(())
        .ok_or_eyre("internal_ports must be given as the first and the last port")?;
    Ok(HostSettings {
        host: wire.node_name,
        domain: wire.zone,
        callers: wire.bind_addresses.frontend,
        readiness: wire.bind_addresses.readiness,
        peers: SocketAddr::new(wire.ip, first),
        store: wire.platform.address,
        advice: match wire.advice.as_str() {
            "" => None,
            text => Some(
                text.parse()
                    .wrap_err("advice must be an address with a port")?,
            ),
        },
        shortest_lease: millis(wire.platform.ttl_min_ms),
        processor: wire.limits.cpu_share * wire.limits.cores.max(1.0),
        grace: millis(wire.bounds.grace_s * 1e3),
        bounds: Bounds {
            max_lease: millis(wire.bounds.hold_max_ms),
            max_stop: millis(wire.bounds.stop_ms),
            max_early_start: millis(wire.bounds.early_ms),
            remote_factor: wire.bounds.remote_factor,
        },
    })
}
