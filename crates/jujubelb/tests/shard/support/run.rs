//! Virtual time, calls of operators, checks by the oracle, and the end of all faults.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use jujubelb::config::Config;
use jujubelb::model::{JobName, JobSpec, ShardName, Span};
use jujubelb::shard::{Cancellation, Input, RequestId, Submission};

use super::policy::PolicyCommand;
use super::worker::FakeWorker;
use super::world::{SHARDS, TICK, World};

impl World {
    pub(super) fn next_request_id(&mut self) -> RequestId {
        self.last_request_id += 1;
        RequestId(self.last_request_id)
    }

    /// Returns the home shard of a job, which its claim in the store would name.
    pub(super) fn home_shard(job: &JobName) -> ShardName {
        let n = job.as_str().bytes().map(usize::from).sum::<usize>();
        SHARDS[n % SHARDS.len()].into()
    }

    pub fn submit(&mut self, job: JobSpec) {
        let shard = Self::home_shard(&job.name);
        let Some(p) = self.owner_of(&shard) else {
            return;
        };
        let request = self.next_request_id();
        self.submissions.insert(request, job.name.clone());
        self.oracle
            .jobs
            .entry(job.name.clone())
            .or_default()
            .open_submissions += 1;
        self.send_input(p, Input::Submit(request, Submission { shard, job }));
    }

    pub fn cancel(&mut self, job: &JobName) {
        let shard = Self::home_shard(job);
        let Some(p) = self.owner_of(&shard) else {
            return;
        };
        let request = self.next_request_id();
        let job = job.clone();
        let cancel = Cancellation { shard, job };
        self.sent_cancellations
            .insert(request, (usize::MAX, 0, cancel.clone()));
        self.send_input(p, Input::Cancel(request, cancel));
    }

    /// Writes a changed configuration.
    pub fn configure(&mut self, change: impl FnOnce(&mut Config)) {
        let mut config = Config::clone(&self.configs[self.configs.len() - 1].1);
        change(&mut config);
        config.revision = config.revision.next();
        for (name, domain) in &config.domains {
            let shard = ShardName::from(name.as_str());
            if domain.out {
                self.out_since.entry(shard).or_insert(self.now);
            } else {
                self.out_since.shift_remove(&shard);
            }
        }
        self.configs.push((self.now, Arc::new(config)));
    }

    pub fn set_out(&mut self, shard: usize, out: bool) {
        let name = SHARDS[shard % SHARDS.len()];
        self.configure(|config| config.domains[name].out = out);
    }

    pub fn command_policy(&mut self, p: usize, command: PolicyCommand) {
        self.processes[p]
            .policy
            .commands
            .lock()
            .unwrap()
            .push(command);
    }

    /// Advances the virtual time by at least this span, tick by tick.
    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        self.clock.store(self.now.as_micros(), Ordering::Relaxed);
        self.observe();
        self.deliver_transit();
        let peers: Vec<_> = (0..self.processes.len())
            .filter(|p| !self.processes[*p].paused)
            .filter_map(|p| {
                self.processes[p]
                    .owner
                    .as_ref()?
                    .summary(self.local_time(p))
            })
            .collect();
        for p in 0..self.processes.len() {
            if self.processes[p].paused || self.processes[p].owner.is_none() {
                continue;
            }
            self.read_config(p);
            self.query_former_owners(p);
            self.resolve(p);
            self.send_input(p, Input::PeerSummaries(peers.clone()));
            self.send_input(p, Input::Tick);
            self.snapshot(p);
        }
        self.replace_owners();
    }

    pub(super) fn read_log(&mut self) {
        for (key, value) in self.store.take_segments() {
            self.oracle.record_segment(&key, &value);
        }
    }

    /// Passes the current state of the log and of all workers to the oracle.
    pub fn observe(&mut self) {
        self.read_log();
        for (worker, _) in &mut self.workers {
            worker.advance(self.now);
            let out = self.out_since.get(&worker.shard).copied();
            for key in std::mem::take(&mut worker.forgotten) {
                self.oracle.record_forgotten(&key);
            }
            for start in std::mem::take(&mut worker.started) {
                self.oracle.record_start(&start, out);
            }
        }
        self.oracle.check_workers(&self.workers);
    }

    /// Ends all faults.
    pub fn clear_faults(&mut self) {
        self.store.clear_faults();
        self.store.deliver_delayed();
        self.message_faults.clear();
        self.offer_faults.clear();
        self.slow_starts = None;
        self.cut_links.clear();
        for (worker, _) in &mut self.workers {
            worker.unreachable = false;
            worker.leaving = false;
            worker.fails_all = false;
            worker.behaviours.clear();
        }
        for process in &mut self.processes {
            process.unreachable = false;
            process.config_unreadable = false;
            process.config_lag = Span::ZERO;
            process.policy.commands.lock().unwrap().clear();
        }
        for p in 0..self.processes.len() {
            self.resume(p);
        }
        self.deliver_delayed();
        self.configure(|config| {
            for domain in config.domains.values_mut() {
                domain.out = false;
            }
        });
    }

    /// Ends all faults and lets all running tasks succeed until all accepted work
    /// has ended. Reports a violation if it has not ended within `bound`.
    pub fn run_to_completion(&mut self, bound: Span) {
        use jujubelb::worker::Phase;
        self.clear_faults();
        let until = self.now + bound;
        while self.now < until && !self.is_complete() {
            for (worker, _) in &mut self.workers {
                worker.finish(0, Phase::Succeeded);
            }
            self.tick();
        }
        if !self.is_complete() {
            let unfinished = self.oracle.unfinished();
            self.oracle
                .violations
                .push(format!("accepted work was lost: {unfinished:?}"));
        }
    }

    pub(super) fn is_complete(&self) -> bool {
        let idle = |w: &FakeWorker| !w.running().any(|r| self.oracle.is_cancelled(&r.task.job));
        self.oracle.unfinished().is_empty() && self.workers.iter().all(|(w, _)| idle(w))
    }
}
