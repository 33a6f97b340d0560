//! Simulated processes that own shards: takeover, execution of outputs, pauses and crashes.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use jujubelb::config::Config;
use jujubelb::journal::{Journal, JournalError, WriterId};
use jujubelb::model::{Attempt, Incarnation, ShardName, Time};
use jujubelb::shard::{Input, Output, Owner, OwnerIdentity, State, Task, TaskState};

use super::world::{Clock, InjectedBug, SHARDS, TAKEOVER_DELAY, World};

impl World {
    pub fn config_at(&self, time: Time) -> Arc<Config> {
        let seen = self.configs.iter().rev().find(|(at, _)| *at <= time);
        seen.map_or_else(|| self.configs[0].1.clone(), |(_, config)| config.clone())
    }

    /// Opens the shard in a process, unless the store fails.
    pub fn take_over(&mut self, p: usize) {
        let process = &self.processes[p];
        if process.paused || process.owner.is_some() {
            return;
        }
        let writer = WriterId {
            node: process.node.clone(),
            incarnation: Incarnation(process.incarnation),
        };
        let (clock, offset) = (self.clock.clone(), process.offset);
        let clock: Clock =
            Box::new(move || Time::from_micros(clock.load(Ordering::Relaxed) + offset));
        let shard = process.shard.clone();
        let opened = Journal::open(self.store.clone(), clock, shard.clone(), writer.clone());
        self.read_log();
        let (journal, mut opened) = match opened {
            Ok(opened) => opened,
            Err(JournalError::Corrupt { key, reason }) => panic!("{key}: {reason}"),
            Err(_) => return,
        };
        self.inject_state_bug(&mut opened.state);
        let now = self.local_time(p);
        let read = self.now - self.processes[p].config_lag;
        let config = self.config_at(read);
        let identity = OwnerIdentity {
            shard,
            writer,
            clock_anchor: (now, self.wall_time()),
        };
        let process = &mut self.processes[p];
        process.revision = config.revision;
        let policy = process.policy.for_new_owner();
        process.owner = Some(Owner::new(identity, now, now, opened, config, policy));
        process.journal = Some(journal);
        process.unresolved = None;
        process.held_outputs.clear();
    }

    /// Corrupts the state of a new owner as the injected bug demands.
    pub(super) fn inject_state_bug(&self, state: &mut State) {
        match self.injected_bug {
            InjectedBug::RerunCompleted => {
                for id in &self.oracle.completed {
                    if let Some(job) = state.jobs.get_mut(&id.job) {
                        job.open_tasks += 1;
                        let task = Task {
                            state: TaskState::Queued,
                            attempt: Attempt(100),
                            checkpoint: None,
                            failures: 0,
                        };
                        state.tasks.insert(id.clone(), task);
                    }
                }
            }
            InjectedBug::ForgetCheckpoints => {
                for task in state.tasks.values_mut() {
                    task.checkpoint = None;
                }
            }
            InjectedBug::LoseTask => {
                let lost = state.queued_tasks().next().map(|(id, _, _)| id.clone());
                if let Some(id) = lost {
                    state.tasks.shift_remove(&id);
                }
            }
            _ => {}
        }
    }

    /// Passes an input to the owner in a process and executes its outputs.
    pub fn send_input(&mut self, p: usize, input: Input) {
        let now = self.local_time(p);
        let process = &mut self.processes[p];
        let Some(owner) = &mut process.owner else {
            return;
        };
        owner.handle(now, input);
        let outputs = owner.take_outputs();
        if process.holds_outputs {
            process.held_outputs.extend(outputs);
            return;
        }
        self.execute_outputs(p, outputs);
    }

    pub(super) fn execute_outputs(&mut self, p: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.execute_output(p, output);
        }
        self.observe();
    }

    pub(super) fn execute_output(&mut self, p: usize, output: Output) {
        match output {
            Output::Append(segment) => {
                let Some(journal) = &mut self.processes[p].journal else {
                    return;
                };
                let seq = segment.seq;
                let result = journal.append(&segment);
                self.handle_append_result(p, seq, result);
            }
            Output::Sync(worker, request) => self.send_sync(p, worker.as_str(), request),
            Output::Submitted(request, code) => {
                if let Some(job) = self.submissions.shift_remove(&request) {
                    self.read_log();
                    self.oracle.record_submit_code(&job, code);
                    self.submit_codes.insert(job, code);
                }
            }
            Output::Cancelled(request, code) => self.handle_cancel_code(request, code),
            Output::Offer(offer) => self.send_offer(p, offer),
            Output::ForwardCancel(cancel) => self.forward_cancel(p, cancel),
            Output::OfferReply(request, _, answer) => {
                if let Some((from, incarnation, task, attempt)) =
                    self.sent_offers.shift_remove(&request)
                    && self.processes[from].incarnation == incarnation
                    && !self.processes[from].paused
                {
                    self.send_input(from, Input::OfferReply(task, attempt, answer));
                }
            }
            Output::StepDown(_) => {
                self.processes[p].owner = None;
                self.processes[p].journal = None;
            }
        }
    }

    pub(super) fn handle_append_result(
        &mut self,
        p: usize,
        seq: u64,
        result: Result<(), JournalError>,
    ) {
        self.read_log();
        let input = match result {
            Ok(()) => Input::Appended(seq, Ok(())),
            Err(JournalError::Store(_)) if self.injected_bug == InjectedBug::AcceptUnstored => {
                Input::Appended(seq, Ok(()))
            }
            Err(JournalError::Store(error)) => Input::Appended(seq, Err(error)),
            Err(JournalError::Fenced(epoch)) => Input::Fenced(epoch),
            Err(JournalError::Unresolved(_)) => {
                self.processes[p].unresolved = Some(seq);
                return;
            }
            Err(JournalError::Corrupt { key, reason }) => panic!("{key}: {reason}"),
        };
        self.processes[p].unresolved = None;
        self.send_input(p, input);
    }

    /// Returns the process that owns a shard according to its peers: the one with the
    /// highest epoch.
    pub fn owner_of(&self, shard: &ShardName) -> Option<usize> {
        let owners = (0..self.processes.len()).filter(|p| {
            let process = &self.processes[*p];
            &process.shard == shard && process.owner.is_some() && !process.paused
        });
        owners.max_by_key(|p| self.processes[*p].owner.as_ref().map(Owner::epoch))
    }

    pub fn crash(&mut self, p: usize, unreachable: bool) {
        let process = &mut self.processes[p];
        process.owner = None;
        process.journal = None;
        process.unresolved = None;
        process.held_outputs.clear();
        process.paused = false;
        process.holds_outputs = false;
        process.incarnation += 1;
        process.unreachable = unreachable;
    }

    /// Pauses a process. With `holding`, its owner first handles one more tick,
    /// right after a confirmation of the configuration, and the process executes
    /// the outputs when it resumes.
    pub fn pause(&mut self, p: usize, holding: bool) {
        if self.processes[p].paused {
            return;
        }
        if holding {
            self.processes[p].holds_outputs = true;
            self.read_config(p);
            self.send_input(p, Input::Tick);
        }
        self.processes[p].paused = true;
    }

    pub fn resume(&mut self, p: usize) {
        let process = &mut self.processes[p];
        if !process.paused {
            return;
        }
        process.paused = false;
        process.holds_outputs = false;
        let held = std::mem::take(&mut process.held_outputs);
        self.execute_outputs(p, held);
        self.deliver_replies();
    }

    pub(super) fn resolve(&mut self, p: usize) {
        let Some(seq) = self.processes[p].unresolved else {
            return;
        };
        if let Some(journal) = &mut self.processes[p].journal {
            let result = journal.resolve();
            self.handle_append_result(p, seq, result);
        }
    }

    pub(super) fn snapshot(&mut self, p: usize) {
        let process = &mut self.processes[p];
        if let (Some(journal), Some(owner)) = (&mut process.journal, &process.owner) {
            // More often than in production, so that short runs contain snapshots too.
            if journal.next_index() % 16 == 15 {
                let _ = journal.snapshot(owner.stored(), &owner.saved_policy());
            }
            let _ = journal.delete_covered(8);
        }
    }

    /// Lets a process take over each shard that had no owner for `TAKEOVER_DELAY`.
    pub(super) fn replace_owners(&mut self) {
        for shard in SHARDS {
            let shard = ShardName::from(shard);
            if self.owner_of(&shard).is_some() {
                self.ownerless_since.shift_remove(&shard);
                continue;
            }
            let since = *self
                .ownerless_since
                .entry(shard.clone())
                .or_insert(self.now);
            if self.now.since(since) >= TAKEOVER_DELAY {
                let free = self.processes.iter().position(|p| {
                    p.shard == shard && !p.paused && !p.unreachable && p.owner.is_none()
                });
                if let Some(p) = free {
                    self.take_over(p);
                }
            }
        }
    }
}
