//! The processes of the hosts. Ends only processes that it has started, by their ids.

use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use eyre::{Result, WrapErr};
use indexmap::IndexSet;
use rustix::process::{Pid, Signal, kill_process};

use super::silence::silence;
use crate::emulator::customers::Key;
use crate::emulator::history::{Event, History, What};
use crate::emulator::http::lock;
use crate::emulator::platform::settings::{HostPlace, INTERNAL_PORTS, PATH_VARIABLE};

/// Time from SIGTERM until a process is killed, as the settings tell it.
const GRACE: Duration = Duration::from_secs(6);

/// Interval at which processes are looked after.
const CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Port of the metrics and of the state dump on each host's address.
pub(crate) const METRICS_PORT: u16 = 9_464;

/// One host with its process.
#[derive(Debug)]
struct Host {
    place: HostPlace,
    child: Option<Child>,
    /// Whether the process was told to end.
    stopped: bool,
    /// When a process that was told to end is killed.
    kill_at: Option<Duration>,
    /// When the process starts again.
    start_at: Duration,
    /// How long the host stays down after its process has ended.
    down_for: Duration,
}

impl Host {
    /// Id of the process. It was not waited for, so the id is still its own.
    fn pid(&self) -> Option<Pid> {
        Pid::from_raw(self.child.as_ref()?.id().cast_signed())
    }

    fn signal(&self, signal: Signal) {
        let Some(pid) = self.pid() else {
            return;
        };
        if let Err(error) = kill_process(pid, signal) {
            log::warn!("{signal:?} not sent to {pid:?}: {error}");
        }
    }
}

/// Processes of all hosts; they are killed when this is dropped.
#[derive(Debug)]
pub(crate) struct Processes {
    node: PathBuf,
    dir: PathBuf,
    hosts: Mutex<Vec<Host>>,
    history: Arc<History>,
}

impl Processes {
    /// Starts a process on each host.
    pub(crate) fn start(
        node: &Path,
        dir: &Path,
        places: Vec<HostPlace>,
        history: Arc<History>,
    ) -> Result<Self> {
        let host = |place| Host {
            place,
            child: None,
            stopped: false,
            kill_at: None,
            start_at: Duration::ZERO,
            down_for: Duration::ZERO,
        };
        let processes = Self {
            node: node.to_owned(),
            dir: dir.to_owned(),
            hosts: Mutex::new(places.into_iter().map(host).collect()),
            history,
        };
        for host in lock(&processes.hosts).iter_mut() {
            let path = processes.settings_path(&host.place);
            std::fs::write(&path, host.place.settings())
                .wrap_err_with(|| format!("can't write {}", path.display()))?;
            host.child = Some(processes.spawn(&host.place)?);
        }
        Ok(processes)
    }

    fn settings_path(&self, place: &HostPlace) -> PathBuf {
        self.dir.join(format!("{}.toml", place.name))
    }

    fn log_path(&self, place: &HostPlace) -> PathBuf {
        self.dir.join(format!("{}.log", place.name))
    }

    fn spawn(&self, place: &HostPlace) -> Result<Child> {
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_path(place))?;
        let errors: File = log.try_clone()?;
        Command::new(&self.node)
            .arg("--metrics-port")
            .arg(METRICS_PORT.to_string())
            .env(PATH_VARIABLE, self.settings_path(place))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .wrap_err_with(|| format!("can't start {}", self.node.display()))
    }

    /// Sends a signal that doesn't end the process.
    pub(crate) fn signal(&self, host: usize, signal: Signal) {
        lock(&self.hosts)[host].signal(signal);
    }

    /// Makes the open connections between the hosts silent for good, without a reset.
    pub(crate) fn silence_peers(&self) {
        for host in lock(&self.hosts).iter() {
            let Some(pid) = host.pid() else {
                continue;
            };
            match silence(pid, INTERNAL_PORTS) {
                Ok(count) => log::info!(host = host.place.name, count; "connections silenced"),
                Err(error) => log::warn!("connections of {pid:?} not silenced: {error}"),
            }
        }
    }

    /// Tells a process to end, and starts it again `down_for` after it has ended.
    pub(crate) fn stop(&self, host: usize, signal: Signal, down_for: Duration) {
        let kill_at = self.history.now() + GRACE;
        let mut hosts = lock(&self.hosts);
        let host = &mut hosts[host];
        host.signal(signal);
        host.stopped = true;
        host.kill_at.get_or_insert(kill_at);
        host.down_for = down_for;
    }

    /// Whether the process of a host runs and was not told to end.
    pub(crate) fn runs(&self, host: usize) -> bool {
        let hosts = lock(&self.hosts);
        hosts[host].child.is_some() && !hosts[host].stopped
    }

    /// Starts processes again that have ended. Never returns.
    pub(crate) async fn look_after(self: Arc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = self.history.now();
            for (index, host) in lock(&self.hosts).iter_mut().enumerate() {
                if let Err(error) = self.look_after_host(index, host, now) {
                    log::error!("process of host {index}: {error:#}");
                }
            }
        }
    }

    fn look_after_host(&self, index: usize, host: &mut Host, now: Duration) -> Result<()> {
        if let Some(child) = &mut host.child {
            match child.try_wait()? {
                Some(status) => {
                    if !host.stopped {
                        let text = format!("the process ended by itself: {status}");
                        self.history.add(What::ProcessFailed { host: index, text });
                    }
                    host.child = None;
                    host.start_at = now + host.down_for;
                }
                None if host.kill_at.is_some_and(|at| at <= now) => host.signal(Signal::KILL),
                None => {}
            }
        }
        if host.child.is_none() && host.start_at <= now {
            host.child = Some(self.spawn(&host.place)?);
            host.stopped = false;
            host.kill_at = None;
            host.down_for = Duration::ZERO;
        }
        Ok(())
    }

    /// Records the panics that processes have logged.
    pub(crate) fn record_panics(&self) {
        for (index, host) in lock(&self.hosts).iter().enumerate() {
            let log = std::fs::read(self.log_path(&host.place)).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            if let Some(line) = log.lines().find(|l| l.contains("panicked")) {
                let text = format!("panic in the log: {line}");
                self.history.add(What::ProcessFailed { host: index, text });
            }
        }
    }

    /// Records the keys of customers that stand in the output of processes. The history holds all
    /// keys that were in use.
    pub(crate) fn record_logged_keys(&self) {
        let keys: IndexSet<Key> = self.history.read(|record| {
            let configured = |event: &Event| match &event.what {
                What::Configured { customers, .. } => Some(customers.clone()),
                _ => None,
            };
            let customers = record.events.iter().filter_map(configured).flatten();
            customers.flat_map(|customer| customer.keys).collect()
        });
        for (index, host) in lock(&self.hosts).iter().enumerate() {
            let log = std::fs::read(self.log_path(&host.place)).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            for key in contained(&keys, &log) {
                let key = key.clone();
                self.history.add(What::KeyLogged { host: index, key });
            }
        }
    }

    /// Ends all processes.
    pub(crate) fn end(&self) {
        for host in lock(&self.hosts).iter_mut() {
            if let Some(mut child) = host.child.take() {
                // Both fail only if the process has ended.
                let _ = child.kill();
                let _ = child.wait();
            }
            host.start_at = Duration::MAX;
        }
    }
}

/// The keys that stand in an output.
fn contained<'a>(keys: &'a IndexSet<Key>, output: &str) -> impl Iterator<Item = &'a Key> {
    keys.iter().filter(|key| output.contains(key.text.as_str()))
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.end();
    }
}

#[cfg(test)]
mod tests;
