//! The settings file of a host.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

use toml::toml;

/// Environment variable with the path of the file.
pub(crate) const PATH_VARIABLE: &str = "JUJUBELB_BOOT";

/// Ports of the calls between hosts, as the settings tell them.
pub(crate) const INTERNAL_PORTS: RangeInclusive<u16> = 7720..=7735;

/// What the settings of the hosts of one deployment differ in.
#[derive(Debug, Clone)]
pub(crate) struct HostPlace {
    pub(crate) name: String,
    pub(crate) zone: String,
    /// Clients' address; the other addresses of the host have the same IP address.
    pub(crate) clients: SocketAddr,
    /// Address at which the host reaches the store.
    pub(crate) store: SocketAddr,
    /// Speed of the host's link.
    pub(crate) link_mbps: f64,
    /// Longest lease of what runs on a worker.
    pub(crate) max_lease: Duration,
}

impl HostPlace {
    pub(crate) fn readiness(&self) -> SocketAddr {
        SocketAddr::new(self.clients.ip(), self.clients.port() + 6)
    }

    /// The text of the file.
    pub(crate) fn settings(&self) -> String {
        let mut file = toml! {
            role = "node"
            machine_class = "edge"
            serves = ["edge"]
            region = "home"
            bootstrap = true
            discovery = "platform"
            heartbeat_ms = 1500
            orders = "invocation"
            advice = ""
            [bind_addresses]
            [limits]
            cpu_share = 1.0
            cores = 1
            memory_mb = 260
            [bounds]
            contact_ms = 4000
            grace_s = 6
            stop_ms = 400
            cancel_ms = 3000
            early_ms = 250
            remote_factor = 2
            [platform]
            form = "kv"
            writes_per_s = 400
            reads_per_s = 2000
            history_s = 20
            value_bytes = 1048576
            ttl_min_ms = 1000
        };
        let mut set = |table: Option<&str>, key: &str, value: toml::Value| {
            let table = match table {
                Some(name) => file.get_mut(name).and_then(toml::Value::as_table_mut),
                None => Some(&mut file),
            };
            if let Some(table) = table {
                table.insert(key.to_owned(), value);
            }
        };
        let ports = [*INTERNAL_PORTS.start(), *INTERNAL_PORTS.end()];
        set(
            None,
            "internal_ports",
            ports
                .map(|p| toml::Value::from(i64::from(p)))
                .to_vec()
                .into(),
        );
        set(None, "node_name", self.name.clone().into());
        set(None, "zone", self.zone.clone().into());
        set(None, "ip", self.clients.ip().to_string().into());
        let addresses = Some("bind_addresses");
        set(addresses, "frontend", self.clients.to_string().into());
        set(addresses, "readiness", self.readiness().to_string().into());
        set(Some("platform"), "address", self.store.to_string().into());
        set(Some("limits"), "link_mbps", self.link_mbps.into());
        let max_lease = self.max_lease.as_millis() as i64;
        set(Some("bounds"), "hold_max_ms", max_lease.into());
        file.to_string()
    }
}
