//! The thread that keeps the configuration and its evidence up to date.

use std::sync::Arc;

use super::plan::{Known, Plan, Step};
use super::{InForce, Process, Running};
use crate::config::Config;
use crate::config::head::{ConfigReader, PollOutcome};
use crate::model::{Revision, Span, Time};
use crate::peer::{Call, Peers, Reply};
use crate::telemetry::Outlet;

/// Interval of the thread's decisions.
const STEP: Span = Span::from_millis(100);

/// Longest time for an answer of a peer. Its evidence has to stay fresh on the way.
const PATIENCE: Span = Span::from_millis(1_000);

/// News of the configuration, in order.
#[derive(Debug, Clone)]
pub(crate) enum ConfigNews {
    /// This configuration came into force.
    Config(Arc<Config>),
    /// A read that began at this time confirmed the configuration in force.
    Evidence(Time),
    /// The store answered a call that began at this time.
    Contact(Time),
}

/// State of the thread.
pub(crate) struct Configuration {
    process: Arc<Process>,
    peers: Peers,
    reader: ConfigReader,
    plan: Plan,
    news: Outlet<ConfigNews>,
    /// Revision and evidence that the reading end knows.
    told: (Revision, Option<Time>),
    contact: Option<Time>,
    /// Whether the last read failed; only the first failure in a row is a warning.
    failing: bool,
}

impl Configuration {
    /// The state at the start.
    pub(crate) fn new(process: Arc<Process>, peers: Peers, news: Outlet<ConfigNews>) -> Self {
        Self {
            process,
            peers,
            reader: ConfigReader::default(),
            plan: Plan::default(),
            news,
            told: (Revision::default(), None),
            contact: None,
            failing: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) fn run(mut self, running: &Running) {
        while running.goes_on() {
            self.step();
            running.wait(STEP);
        }
    }

    fn step(&mut self) {
        let now = self.process.clock.now();
        let members = self.peers.present();
        let known = Known {
            node: &self.process.node,
            domain: &self.process.settings.domain,
            revision: self.reader.config().revision,
            age: self.reader.evidence().age(now),
            members: &members,
        };
        match self.plan.next(now, &known) {
            Step::Read => self.read(now),
            Step::Ask(node) => self.ask(now, &node),
            Step::Wait => {}
        }
        self.publish(members.len());
    }

    fn read(&mut self, began: Time) {
        match self.reader.poll(&*self.process.store, began) {
            Ok(read) => {
                self.contact = Some(began);
                self.failing = false;
                if let PollOutcome::Older(revision) = read {
                    log::warn!(revision = revision.0; "the store returned an older configuration, which is ignored");
                }
            }
            Err(error) if self.failing => {
                log::debug!(error:% = error; "the configuration could not be read");
            }
            Err(error) => {
                self.failing = true;
                log::warn!(error:% = error; "the configuration could not be read");
            }
        }
    }

    fn ask(&mut self, asked: Time, node: &crate::model::NodeName) {
        let call = Call::Config(self.reader.config().revision);
        match self.peers.call_blocking(node, call, PATIENCE) {
            Ok(Reply::Config {
                config,
                revision,
                evidence,
            }) => {
                self.plan.answered(asked, evidence);
                if let Some(config) = config {
                    self.reader.adopt(config);
                }
                if let Some(age) = evidence {
                    self.reader.confirm_from_peer(revision, asked, age);
                }
            }
            Ok(_) => log::warn!(peer:% = node; "a peer gave no configuration"),
            Err(error) => {
                log::debug!(peer:% = node, error:% = error; "a peer could not be asked for the configuration");
            }
        }
    }

    /// Shows the state on the board, then tells the reading end of the queue.
    /// What does not fit is told in the next step.
    fn publish(&mut self, present: usize) {
        let config = self.reader.config().clone();
        let evidence = *self.reader.evidence();
        let changed = config.revision != self.process.board.revision();
        self.process.board.show(InForce {
            config: config.clone(),
            evidence,
        });
        if changed {
            log::info!(revision = config.revision.0; "a configuration came into force");
            self.peers.configure(&config);
            let processes = (2 * config.hosts.len()).max(present + 1);
            self.process.store.set_processes(processes);
        }
        let age = evidence.age(self.process.clock.now());
        self.peers.update_heartbeat(|beat| {
            beat.revision = config.revision;
            beat.evidence = age;
        });
        if config.revision != self.told.0 {
            if self.news.push(ConfigNews::Config(config.clone())).is_err() {
                return;
            }
            self.told.0 = config.revision;
        }
        if let Some(began) = evidence.read_start()
            && self.told.1 != Some(began)
            && self.news.push(ConfigNews::Evidence(began)).is_ok()
        {
            self.told.1 = Some(began);
        }
        if let Some(began) = self.contact
            && self.news.push(ConfigNews::Contact(began)).is_ok()
        {
            self.contact = None;
        }
    }
}
