//! Runs the entry and scheduler processes of the demo's hosts inside this process.

use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{Context, Result};
use indexmap::IndexMap;
use jujubelb::entry::EntryHandle;
use jujubelb::model::NodeName;
use jujubelb::scheduler::SchedulerHandle;
use jujubelb::settings::Settings;
use rand::Rng;

use super::deployment::{DemoHost, Deployment};

/// Time limit of a planned stop, longer than any request of the demo takes.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// Time between the announcement of a planned stop and the refusal of connections, in which
/// callers notice the stop.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(300);

/// Time within which a request may be retried with the same key. Callers of the demo retry for
/// less than this.
const KEY_LIFETIME: Duration = Duration::from_secs(3);

/// Handles of the running processes, by host name.
pub struct DemoProcesses {
    hosts: Vec<DemoHost>,
    deployment: Deployment,
    dir: PathBuf,
    token: String,
    entries: IndexMap<String, EntryHandle>,
    schedulers: IndexMap<String, SchedulerHandle>,
}

impl DemoProcesses {
    /// Starts both processes on every host. Writes the operator token and the peer key to `dir`.
    pub fn start(deployment: Deployment, dir: &Path) -> Result<Self> {
        let token = random_secret();
        std::fs::write(dir.join("token"), &token).wrap_err("failed to write the operator token")?;
        std::fs::write(dir.join("key"), random_secret())
            .wrap_err("failed to write the peer key")?;
        let mut processes = Self {
            hosts: deployment.hosts(),
            deployment,
            dir: dir.to_owned(),
            token,
            entries: IndexMap::new(),
            schedulers: IndexMap::new(),
        };
        for host in processes.hosts.clone() {
            processes.start_entry(&host.name)?;
            processes.start_scheduler(&host.name)?;
        }
        Ok(processes)
    }

    /// Bearer token that the operator interfaces accept.
    pub fn token(&self) -> &str {
        &self.token
    }

    /// All entry hosts, also those whose processes are stopped.
    pub fn hosts(&self) -> &[DemoHost] {
        &self.hosts
    }

    fn host(&self, name: &str) -> Result<&DemoHost> {
        let found = self.hosts.iter().find(|h| h.name == name);
        found.ok_or_else(|| eyre::eyre!("the demo has no host {name}"))
    }

    fn settings(&self, host: &DemoHost, entry: bool) -> Settings {
        let seeds = |h: &DemoHost| {
            [
                (NodeName::new(format!("{}/entry", h.name)), h.entry()),
                (
                    NodeName::new(format!("{}/scheduler", h.name)),
                    h.scheduler(),
                ),
            ]
        };
        let platform = self.deployment.platform();
        Settings {
            host: host.name.as_str().into(),
            domain: host.domain.into(),
            callers: entry.then(|| host.caller_address()),
            operators: if entry {
                host.entry_operators()
            } else {
                host.scheduler_operators()
            },
            peers: if entry {
                host.entry()
            } else {
                host.scheduler()
            },
            store: platform.store,
            host_list: platform.hosts,
            seeds: self.hosts.iter().flat_map(seeds).collect(),
            keys: vec![self.dir.join("key")],
            tokens: vec![self.dir.join("token")],
            stop: SHUTDOWN_TIMEOUT,
            notice: SHUTDOWN_NOTICE,
            key_lifetime: KEY_LIFETIME,
        }
    }

    /// Starts the entry process of a host.
    pub fn start_entry(&mut self, name: &str) -> Result<()> {
        let settings = self.settings(self.host(name)?, true);
        let handle = EntryHandle::start(settings)
            .wrap_err_with(|| format!("failed to start the entry process of {name}"))?;
        self.entries.insert(name.to_owned(), handle);
        Ok(())
    }

    /// Starts the scheduler process of a host.
    pub fn start_scheduler(&mut self, name: &str) -> Result<()> {
        let settings = self.settings(self.host(name)?, false);
        let handle = SchedulerHandle::start(settings)
            .wrap_err_with(|| format!("failed to start the scheduler process of {name}"))?;
        self.schedulers.insert(name.to_owned(), handle);
        Ok(())
    }

    /// Aborts a scheduler process without a handoff. Does nothing if it is not running.
    pub fn abort_scheduler(&mut self, name: &str) {
        if let Some(handle) = self.schedulers.shift_remove(name) {
            handle.abort();
        }
    }

    /// Stops a scheduler process as planned. Returns whether its handoff was complete; `true` if
    /// it was not running.
    pub fn stop_scheduler(&mut self, name: &str) -> bool {
        self.schedulers
            .shift_remove(name)
            .is_none_or(SchedulerHandle::stop)
    }

    /// Stops an entry process as planned. Returns whether all its requests were finished; `true`
    /// if it was not running.
    pub fn stop_entry(&mut self, name: &str) -> bool {
        self.entries
            .shift_remove(name)
            .is_none_or(EntryHandle::stop)
    }

    /// Stops all processes as planned and in parallel. Returns whether every stop was complete.
    pub fn stop_all(&mut self) -> bool {
        let entries: Vec<_> = self.entries.drain(..).map(|(_, h)| h).collect();
        let schedulers: Vec<_> = self.schedulers.drain(..).map(|(_, h)| h).collect();
        std::thread::scope(|scope| {
            let entries = entries.into_iter().map(|h| scope.spawn(|| h.stop()));
            let schedulers = schedulers.into_iter().map(|h| scope.spawn(|| h.stop()));
            let stopping: Vec<_> = entries.chain(schedulers).collect();
            stopping.into_iter().all(|t| t.join().unwrap_or(false))
        })
    }
}

fn random_secret() -> String {
    format!(
        "{:032x}{:032x}",
        rand::rng().random::<u128>(),
        rand::rng().random::<u128>()
    )
}
