//! The thread that keeps the active configuration and its evidence up to date.

use std::sync::Arc;

use super::read_schedule::{ReadSchedule, ScheduleInput, Step};
use super::{ActiveConfig, Process, Running};
use crate::config::Config;
use crate::config::head::{ConfigReader, PollOutcome};
use crate::model::{Revision, Span, Time};
use crate::peer::{Call, Peers, Reply};
use crate::telemetry::QueueSender;

/// Interval of the thread's steps.
const STEP_INTERVAL: Span = Span::from_millis(100);

/// Longest wait for a reply of a peer, whose evidence has to be fresh on arrival.
const PEER_CALL_TIMEOUT: Span = Span::from_millis(1_000);

/// A change of the active configuration or of its evidence, in order.
#[derive(Debug, Clone)]
pub(crate) enum ConfigEvent {
    /// This configuration became active.
    Config(Arc<Config>),
    /// A read that began at this time confirmed the active configuration.
    Evidence(Time),
    /// The store answered a call that began at this time.
    StoreReachable(Time),
}

/// State of the configuration thread.
pub(crate) struct Configuration {
    process: Arc<Process>,
    peers: Peers,
    reader: ConfigReader,
    schedule: ReadSchedule,
    events: QueueSender<ConfigEvent>,
    /// Revision and evidence that were last sent through `events`.
    published: (Revision, Option<Time>),
    /// Start of the last read that the store answered, until it is sent.
    last_contact: Option<Time>,
    /// Whether the last read failed; only the first of consecutive failures is a warning.
    failing: bool,
}

impl Configuration {
    /// The state before the first read.
    pub(crate) fn new(
        process: Arc<Process>,
        peers: Peers,
        events: QueueSender<ConfigEvent>,
    ) -> Self {
        Self {
            process,
            peers,
            reader: ConfigReader::default(),
            schedule: ReadSchedule::default(),
            events,
            published: (Revision::default(), None),
            last_contact: None,
            failing: false,
        }
    }

    /// Runs until the process ends.
    pub(crate) fn run(mut self, running: &Running) {
        while running.is_active() {
            self.step();
            running.wait(STEP_INTERVAL);
        }
    }

    fn step(&mut self) {
        let now = self.process.clock.now();
        let members = self.peers.present();
        let input = ScheduleInput {
            node: &self.process.node,
            domain: &self.process.settings.domain,
            revision: self.reader.config().revision,
            age: self.reader.evidence().age(now),
            members: &members,
        };
        match self.schedule.next(now, &input) {
            Step::Read => self.read(now),
            Step::Ask(node) => self.ask_peer(now, &node),
            Step::Wait => {}
        }
        self.publish(members.len());
    }

    fn read(&mut self, began: Time) {
        match self.reader.poll(&*self.process.store, began) {
            Ok(outcome) => {
                self.last_contact = Some(began);
                self.failing = false;
                if let PollOutcome::Older(revision) = outcome {
                    log::warn!(revision = revision.0; "ignored an older configuration that the store returned");
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

    fn ask_peer(&mut self, asked: Time, node: &crate::model::NodeName) {
        let call = Call::Config(self.reader.config().revision);
        match self.peers.call_blocking(node, call, PEER_CALL_TIMEOUT) {
            Ok(Reply::Config {
                config,
                revision,
                evidence,
            }) => {
                self.schedule.reply_received(asked, evidence);
                if let Some(config) = config {
                    self.reader.adopt(config);
                }
                if let Some(age) = evidence {
                    self.reader.confirm_from_peer(revision, asked, age);
                }
            }
            Ok(_) => {
                log::warn!(peer:% = node; "a peer replied to a configuration request with something else")
            }
            Err(error) => {
                log::debug!(peer:% = node, error:% = error; "a configuration request to a peer failed");
            }
        }
    }

    /// Publishes the state to the threads and peers, then queues the changes. What
    /// does not fit the queue is sent in the next step.
    fn publish(&mut self, peer_count: usize) {
        let config = self.reader.config().clone();
        let evidence = *self.reader.evidence();
        let changed = config.revision != self.process.active_config.revision();
        self.process.active_config.set(ActiveConfig {
            config: config.clone(),
            evidence,
        });
        if changed {
            log::info!(revision = config.revision.0; "a configuration became active");
            self.peers.configure(&config);
            let processes = (2 * config.hosts.len()).max(peer_count + 1);
            self.process.store.set_processes(processes);
        }
        let age = evidence.age(self.process.clock.now());
        self.peers.update_heartbeat(|beat| {
            beat.revision = config.revision;
            beat.evidence = age;
        });
        if config.revision != self.published.0 {
            if self
                .events
                .push(ConfigEvent::Config(config.clone()))
                .is_err()
            {
                return;
            }
            self.published.0 = config.revision;
        }
        if let Some(began) = evidence.read_start()
            && self.published.1 != Some(began)
            && self.events.push(ConfigEvent::Evidence(began)).is_ok()
        {
            self.published.1 = Some(began);
        }
        if let Some(began) = self.last_contact
            && self.events.push(ConfigEvent::StoreReachable(began)).is_ok()
        {
            self.last_contact = None;
        }
    }
}
