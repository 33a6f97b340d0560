//! Settings of one process, read from a YAML file. `docs/settings.md` lists them.

#[cfg(test)]
mod tests;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::claim::DEFAULT_KEY_LIFETIME;
use crate::http::error_chain;
use crate::model::{DomainName, HostName, NodeName, Span};
use crate::peer::Role;

/// Longest host or domain name. Heartbeats carry both and have to fit a datagram.
const LONGEST_NAME: usize = 63;

/// Settings of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the entry host, as declared in the configuration.
    pub host: HostName,
    /// Failure domain.
    pub domain: DomainName,
    /// Address for callers; only for the entry process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// Address for operators.
    pub operators: SocketAddr,
    /// Address for peers (UDP and TCP).
    pub peers: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the host list.
    pub host_list: SocketAddr,
    /// Processes to which heartbeats are sent before a configuration names the hosts.
    #[serde(default)]
    pub seeds: IndexMap<NodeName, SocketAddr>,
    /// Files with the peer key, or with two keys during a rotation.
    pub keys: Vec<PathBuf>,
    /// Files with the operator token, or with two tokens during a rotation.
    pub tokens: Vec<PathBuf>,
    /// Longest time that a planned stop waits for work in flight.
    #[serde(default = "default_stop", with = "humantime_serde")]
    pub stop: std::time::Duration,
    /// Time between telling the balancer and the peers of a planned stop and refusing connections.
    #[serde(default = "default_notice", with = "humantime_serde")]
    pub notice: std::time::Duration,
    /// Time after its first attempt within which a caller may retry with the same request key. All
    /// entry processes need the same value, or a claim could be forgotten while a caller still retries.
    #[serde(default = "default_key_lifetime", with = "humantime_serde")]
    pub key_lifetime: std::time::Duration,
}

fn default_key_lifetime() -> std::time::Duration {
    DEFAULT_KEY_LIFETIME.to_std()
}

fn default_stop() -> std::time::Duration {
    Span::from_secs(60).to_std()
}

fn default_notice() -> std::time::Duration {
    Span::from_secs(2).to_std()
}

/// A fault in the settings.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("the settings file {path} can't be read: {reason}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        reason: String,
    },
    /// The text is not valid YAML, or a field is missing, unknown or of a wrong type.
    #[error("the settings can't be used: {0}")]
    Syntax(String),
    /// A value can't be used.
    #[error("the setting `{field}` {fault}")]
    Value {
        /// The field.
        field: &'static str,
        /// What is wrong and what to do.
        fault: String,
    },
}

impl Settings {
    /// Reads and checks a settings file.
    pub fn read(path: &Path, role: Role) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::File {
            path: path.to_owned(),
            reason: error_chain(&e),
        })?;
        Self::parse(&text, role)
    }

    /// Parses and checks settings.
    pub fn parse(text: &str, role: Role) -> Result<Self, SettingsError> {
        // The library's excerpt would repeat the message, so the line is added here.
        let options = serde_saphyr::options! { with_snippet: false };
        let settings: Self = serde_saphyr::from_str_with_options(text, options)
            .map_err(|e| SettingsError::Syntax(with_line(text, &e)))?;
        settings.check(role)?;
        Ok(settings)
    }

    /// Name of the process among its peers.
    pub fn node(&self, role: Role) -> NodeName {
        NodeName::new(format!("{}/{role}", self.host))
    }

    /// Checks that the values can be used together by a process of this role.
    pub fn check(&self, role: Role) -> Result<(), SettingsError> {
        check_name("host", self.host.as_str())?;
        check_name("domain", self.domain.as_str())?;
        match (role, self.callers) {
            (Role::Entry, None) => return fault("callers", "is missing; name an address"),
            (Role::Scheduler, Some(_)) => {
                return fault("callers", "is only for the entry process; remove it");
            }
            _ => {}
        }
        check_http("operators", self.operators)?;
        if let Some(callers) = self.callers {
            check_http("callers", callers)?;
            if callers.port() != 0 && callers == self.operators {
                return fault("operators", "is the same as `callers`; choose another");
            }
        }
        for (field, address) in [("store", self.store), ("host-list", self.host_list)] {
            if address.port() == 0 {
                return fault(field, "has port 0; name the port of the service");
            }
        }
        if self.peers.ip().is_unspecified() {
            let text = "is a wildcard; name the address by which peers reach this host";
            return fault("peers", text);
        }
        for (field, files) in [("keys", &self.keys), ("tokens", &self.tokens)] {
            if !(1..=2).contains(&files.len()) {
                return fault(field, "needs one file, or two during a rotation");
            }
        }
        if self.notice >= self.stop {
            return fault(
                "notice",
                "is not shorter than `stop`; choose a shorter time",
            );
        }
        Ok(())
    }
}

/// The message of a syntax error with the line that it is about.
fn with_line(text: &str, error: &serde_saphyr::Error) -> String {
    let number = error.location().map(|at| at.line() as usize);
    let line = number.and_then(|number| text.lines().nth(number.checked_sub(1)?));
    match line.map(str::trim) {
        Some(line) if !line.is_empty() => format!("{error}, in `{line}`"),
        _ => error.to_string(),
    }
}

fn fault<T>(field: &'static str, fault: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Value {
        field,
        fault: fault.to_owned(),
    })
}

fn check_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > LONGEST_NAME || !name.chars().all(allowed) {
        return fault(
            field,
            "has to have 1 to 63 letters, digits, `-`, `_` or `.`",
        );
    }
    Ok(())
}

/// The HTTP server library takes IPv4 addresses only.
fn check_http(field: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
    if address.is_ipv6() {
        return fault(field, "is an IPv6 address; name an IPv4 address");
    }
    Ok(())
}
