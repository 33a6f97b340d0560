//! Processes that own shards: taking over, carrying out what an owner gives out, pausing and dying.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use jujubelb::config::Config;
use jujubelb::journal::{Journal, JournalError, WriterId};
use jujubelb::model::{Attempt, Incarnation, ShardName, Time};
use jujubelb::shard::{Input, Output, Owner, OwnerIdentity, State, Task, TaskState};

use super::world::{Clock, SHARDS, Sabotage, TAKE_OVER, World};

impl World {
    pub fn config_at(&self, time: Time) -> Arc<Config> {
        let seen = self.configs.iter().rev().find(|(at, _)| *at <= time);
        seen.map_or_else(|| self.configs[0].1.clone(), |(_, config)| config.clone())
    }

    /// Opens the shard in a process, if the store permits.
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
        self.watch_log();
        let (journal, mut opened) = match opened {
            Ok(opened) => opened,
            Err(JournalError::Corrupt { key, reason }) => panic!("{key}: {reason}"),
            Err(_) => return,
        };
        self.spoil(&mut opened.state);
        let now = self.local(p);
        let read = self.now - self.processes[p].lag;
        let config = self.config_at(read);
        let identity = OwnerIdentity {
            shard,
            writer,
            clock_anchor: (now, self.calendar()),
        };
        let process = &mut self.processes[p];
        process.revision = config.revision;
        let policy = process.wishes.renewed();
        process.owner = Some(Owner::new(identity, now, now, opened, config, policy));
        process.journal = Some(journal);
        process.unresolved = None;
        process.held.clear();
    }

    /// Damages the state of a new owner, to show that the oracle notices.
    pub(super) fn spoil(&self, state: &mut State) {
        match self.sabotage {
            Sabotage::RerunCompleted => {
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
            Sabotage::ForgetCheckpoints => {
                for task in state.tasks.values_mut() {
                    task.checkpoint = None;
                }
            }
            Sabotage::LoseTask => {
                let lost = state.queued_tasks().next().map(|(id, _, _)| id.clone());
                if let Some(id) = lost {
                    state.tasks.shift_remove(&id);
                }
            }
            _ => {}
        }
    }

    /// Passes an input to the owner in a process and carries out what it gives out.
    pub fn give(&mut self, p: usize, input: Input) {
        let now = self.local(p);
        let process = &mut self.processes[p];
        let Some(owner) = &mut process.owner else {
            return;
        };
        owner.handle(now, input);
        let outputs = owner.take_outputs();
        if process.holding {
            process.held.extend(outputs);
            return;
        }
        self.carry_out(p, outputs);
    }

    pub(super) fn carry_out(&mut self, p: usize, outputs: Vec<Output>) {
        for output in outputs {
            self.carry_out_one(p, output);
        }
        self.look();
    }

    pub(super) fn carry_out_one(&mut self, p: usize, output: Output) {
        match output {
            Output::Append(segment) => {
                let Some(journal) = &mut self.processes[p].journal else {
                    return;
                };
                let seq = segment.seq;
                let result = journal.append(&segment);
                self.appended(p, seq, result);
            }
            Output::Sync(worker, request) => self.sync(p, worker.as_str(), request),
            Output::Submitted(ticket, code) => {
                if let Some(job) = self.submissions.shift_remove(&ticket) {
                    self.watch_log();
                    self.oracle.answered(&job, code);
                    self.last_codes.insert(job, code);
                }
            }
            Output::Cancelled(ticket, code) => self.cancel_answered(ticket, code),
            Output::Offer(offer) => self.send_offer(p, offer),
            Output::ForwardCancel(cancel) => self.pass_cancel(p, cancel),
            Output::OfferReply(ticket, _, answer) => {
                if let Some((from, incarnation, task, attempt)) = self.offers.shift_remove(&ticket)
                    && self.processes[from].incarnation == incarnation
                    && !self.processes[from].paused
                {
                    self.give(from, Input::OfferReply(task, attempt, answer));
                }
            }
            Output::StepDown(_) => {
                self.processes[p].owner = None;
                self.processes[p].journal = None;
            }
        }
    }

    pub(super) fn appended(&mut self, p: usize, seq: u64, result: Result<(), JournalError>) {
        self.watch_log();
        let input = match result {
            Ok(()) => Input::Appended(seq, Ok(())),
            Err(JournalError::Store(_)) if self.sabotage == Sabotage::AcceptUnstored => {
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
        self.give(p, input);
    }

    /// The process that owns a shard as far as peers can tell.
    pub fn owner_of(&self, shard: &ShardName) -> Option<usize> {
        let owners = (0..self.processes.len()).filter(|p| {
            let process = &self.processes[*p];
            &process.shard == shard && process.owner.is_some() && !process.paused
        });
        owners.max_by_key(|p| self.processes[*p].owner.as_ref().map(Owner::epoch))
    }

    pub fn crash(&mut self, p: usize, silent: bool) {
        let process = &mut self.processes[p];
        process.owner = None;
        process.journal = None;
        process.unresolved = None;
        process.held.clear();
        process.paused = false;
        process.holding = false;
        process.incarnation += 1;
        process.silent = silent;
    }

    /// Stops a process in its tracks; with `holding`, after one more tick whose
    /// outputs it carries out when it wakes. The tick comes with a fresh
    /// confirmation of the configuration.
    pub fn pause(&mut self, p: usize, holding: bool) {
        if self.processes[p].paused {
            return;
        }
        if holding {
            self.processes[p].holding = true;
            self.read_config(p);
            self.give(p, Input::Tick);
        }
        self.processes[p].paused = true;
    }

    pub fn wake(&mut self, p: usize) {
        let process = &mut self.processes[p];
        if !process.paused {
            return;
        }
        process.paused = false;
        process.holding = false;
        let held = std::mem::take(&mut process.held);
        self.carry_out(p, held);
        self.deliver_answers();
    }

    pub(super) fn resolve(&mut self, p: usize) {
        let Some(seq) = self.processes[p].unresolved else {
            return;
        };
        if let Some(journal) = &mut self.processes[p].journal {
            let result = journal.resolve();
            self.appended(p, seq, result);
        }
    }

    pub(super) fn snapshot(&mut self, p: usize) {
        let process = &mut self.processes[p];
        if let (Some(journal), Some(owner)) = (&mut process.journal, &process.owner) {
            // More often than in use, so that short runs have snapshots too.
            if journal.next_index() % 16 == 15 {
                let _ = journal.snapshot(owner.stored(), &owner.saved_policy());
            }
            let _ = journal.delete_covered(8);
        }
    }

    /// Has a process take over each shard that nobody has owned for some time.
    pub(super) fn replace_owners(&mut self) {
        for shard in SHARDS {
            let shard = ShardName::from(shard);
            if self.owner_of(&shard).is_some() {
                self.ownerless.shift_remove(&shard);
                continue;
            }
            let since = *self.ownerless.entry(shard.clone()).or_insert(self.now);
            if self.now.since(since) >= TAKE_OVER {
                let free = self
                    .processes
                    .iter()
                    .position(|p| p.shard == shard && !p.paused && !p.silent && p.owner.is_none());
                if let Some(p) = free {
                    self.take_over(p);
                }
            }
        }
    }
}
