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

/// Maximum length of host and domain names. Heartbeats contain both and have to fit
/// one datagram.
const MAX_NAME_BYTES: usize = 63;

/// Settings of a process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Name of the entry host, as declared in the configuration.
    pub host: HostName,
    /// Failure domain of the host, as declared in the configuration.
    pub domain: DomainName,
    /// Address that serves callers. Required for the entry process and refused for the
    /// scheduler process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub callers: Option<SocketAddr>,
    /// Address that serves operators.
    pub operators: SocketAddr,
    /// Address that serves peers, over UDP and TCP. Peers connect to it, so that it can't
    /// be a wildcard.
    pub peers: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the host list service.
    pub host_list: SocketAddr,
    /// Processes that receive heartbeats before a configuration names the hosts.
    #[serde(default)]
    pub seeds: IndexMap<NodeName, SocketAddr>,
    /// Files with the peer key: one file, or two during a rotation.
    pub keys: Vec<PathBuf>,
    /// Files with the operator token: one file, or two during a rotation.
    pub tokens: Vec<PathBuf>,
    /// Longest duration of a planned stop, which waits for work in flight.
    #[serde(default = "default_stop", with = "humantime_serde")]
    pub stop: std::time::Duration,
    /// Time between announcing a planned stop to the balancer and the peers and refusing
    /// connections. Shorter than `stop`.
    #[serde(default = "default_notice", with = "humantime_serde")]
    pub notice: std::time::Duration,
    /// Time after the first attempt within which a caller may retry with the same request
    /// key. All entry processes need the same value; otherwise a claim could expire while
    /// a caller still retries.
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

/// Why settings could not be read or used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The settings file can't be read.
    #[error("the settings file {path} can't be read: {reason}")]
    File {
        /// Path of the settings file.
        path: PathBuf,
        /// Cause, as the operating system reports it.
        reason: String,
    },
    /// The text is not valid YAML, or a field is missing, unknown or of a wrong type.
    #[error("the settings can't be used: {0}")]
    Syntax(String),
    /// A value is out of range or contradicts another one.
    #[error("the setting `{field}` {problem}")]
    Value {
        /// Name of the setting in the file.
        field: &'static str,
        /// What is wrong and how to correct it, as a predicate of the field.
        problem: String,
    },
}

impl Settings {
    /// Reads the settings file of a process with this role and checks the values.
    pub fn read(path: &Path, role: Role) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path).map_err(|e| SettingsError::File {
            path: path.to_owned(),
            reason: error_chain(&e),
        })?;
        Self::parse(&text, role)
    }

    /// Parses the YAML text of the settings and checks the values.
    pub fn parse(text: &str, role: Role) -> Result<Self, SettingsError> {
        // The excerpt of the library repeats the message, so only the line is added below.
        let options = serde_saphyr::options! { with_snippet: false };
        let settings: Self = serde_saphyr::from_str_with_options(text, options)
            .map_err(|e| SettingsError::Syntax(describe_syntax_error(text, &e)))?;
        settings.check(role)?;
        Ok(settings)
    }

    /// Name of the process among its peers: `HOST/ROLE`.
    pub fn node(&self, role: Role) -> NodeName {
        NodeName::new(format!("{}/{role}", self.host))
    }

    /// Checks each value and their combination for a process of this role.
    pub fn check(&self, role: Role) -> Result<(), SettingsError> {
        check_name("host", self.host.as_str())?;
        check_name("domain", self.domain.as_str())?;
        match (role, self.callers) {
            (Role::Entry, None) => return invalid_value("callers", "is missing; name an address"),
            (Role::Scheduler, Some(_)) => {
                return invalid_value("callers", "is only for the entry process; remove it");
            }
            _ => {}
        }
        check_http_address("operators", self.operators)?;
        if let Some(callers) = self.callers {
            check_http_address("callers", callers)?;
            if callers.port() != 0 && callers == self.operators {
                return invalid_value("operators", "is the same as `callers`; choose another");
            }
        }
        for (field, address) in [("store", self.store), ("host-list", self.host_list)] {
            if address.port() == 0 {
                return invalid_value(field, "has port 0; name the port of the service");
            }
        }
        if self.peers.ip().is_unspecified() {
            let text = "is a wildcard; name the address by which peers reach this host";
            return invalid_value("peers", text);
        }
        for (field, files) in [("keys", &self.keys), ("tokens", &self.tokens)] {
            if !(1..=2).contains(&files.len()) {
                return invalid_value(field, "needs one file, or two during a rotation");
            }
        }
        if self.notice >= self.stop {
            return invalid_value(
                "notice",
                "is not shorter than `stop`; choose a shorter time",
            );
        }
        Ok(())
    }
}

/// Formats a syntax error together with the line to which it refers.
fn describe_syntax_error(text: &str, error: &serde_saphyr::Error) -> String {
    let number = error.location().map(|at| at.line() as usize);
    let line = number.and_then(|number| text.lines().nth(number.checked_sub(1)?));
    match line.map(str::trim) {
        Some(line) if !line.is_empty() => format!("{error}, in `{line}`"),
        _ => error.to_string(),
    }
}

fn invalid_value<T>(field: &'static str, problem: &str) -> Result<T, SettingsError> {
    Err(SettingsError::Value {
        field,
        problem: problem.to_owned(),
    })
}

fn check_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.chars().all(allowed) {
        return invalid_value(
            field,
            "has to have 1 to 63 letters, digits, `-`, `_` or `.`",
        );
    }
    Ok(())
}

/// Refuses IPv6 addresses, which the HTTP server library doesn't support.
fn check_http_address(field: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
    if address.is_ipv6() {
        return invalid_value(field, "is an IPv6 address; name an IPv4 address");
    }
    Ok(())
}
