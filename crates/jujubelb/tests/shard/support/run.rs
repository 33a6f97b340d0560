//! Time, operators' calls, the oracle's look and the end of all faults.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use jujubelb::config::Config;
use jujubelb::model::{JobName, JobSpec, ShardName, Span};
use jujubelb::shard::{Cancellation, Input, RequestId, Submission};

use super::policy::Wish;
use super::worker::FakeWorker;
use super::world::{SHARDS, TICK, World};

impl World {
    pub(super) fn ticket(&mut self) -> RequestId {
        self.tickets += 1;
        RequestId(self.tickets)
    }

    /// The home shard of a job, as its claim in the store says.
    pub(super) fn home(job: &JobName) -> ShardName {
        let n = job.as_str().bytes().map(usize::from).sum::<usize>();
        SHARDS[n % SHARDS.len()].into()
    }

    pub fn submit(&mut self, job: JobSpec) {
        let shard = Self::home(&job.name);
        let Some(p) = self.owner_of(&shard) else {
            return;
        };
        let ticket = self.ticket();
        self.submissions.insert(ticket, job.name.clone());
        self.oracle.jobs.entry(job.name.clone()).or_default().open += 1;
        self.give(p, Input::Submit(ticket, Submission { shard, job }));
    }

    pub fn cancel(&mut self, job: &JobName) {
        let shard = Self::home(job);
        let Some(p) = self.owner_of(&shard) else {
            return;
        };
        let ticket = self.ticket();
        let job = job.clone();
        let cancel = Cancellation { shard, job };
        self.cancels.insert(ticket, (usize::MAX, 0, cancel.clone()));
        self.give(p, Input::Cancel(ticket, cancel));
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

    pub fn wish(&mut self, p: usize, wish: Wish) {
        self.processes[p].wishes.wishes.lock().unwrap().push(wish);
    }

    /// Lets time pass.
    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while self.now < until {
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        self.clock.store(self.now.as_micros(), Ordering::Relaxed);
        self.look();
        self.deliver_transit();
        let peers: Vec<_> = (0..self.processes.len())
            .filter(|p| !self.processes[*p].paused)
            .filter_map(|p| self.processes[p].owner.as_ref()?.summary(self.local(p)))
            .collect();
        for p in 0..self.processes.len() {
            if self.processes[p].paused || self.processes[p].owner.is_none() {
                continue;
            }
            self.read_config(p);
            self.ask_formers(p);
            self.resolve(p);
            self.give(p, Input::PeerSummaries(peers.clone()));
            self.give(p, Input::Tick);
            self.snapshot(p);
        }
        self.replace_owners();
    }

    pub(super) fn watch_log(&mut self) {
        for (key, value) in self.store.take_segments() {
            self.oracle.log(&key, &value);
        }
    }

    /// Has the oracle look at what runs now.
    pub fn look(&mut self) {
        self.watch_log();
        for (worker, _) in &mut self.workers {
            worker.advance(self.now);
            let out = self.out_since.get(&worker.shard).copied();
            for key in std::mem::take(&mut worker.forgotten) {
                self.oracle.forgotten(&key);
            }
            for start in std::mem::take(&mut worker.started) {
                self.oracle.start(&start, out);
            }
        }
        self.oracle.look(&self.workers);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.store.heal();
        self.store.deliver_late();
        self.modes.clear();
        self.offer_modes.clear();
        self.slow_starts = None;
        self.cuts.clear();
        for (worker, _) in &mut self.workers {
            worker.cut = false;
            worker.leaving = false;
            worker.fails = false;
            worker.plans.clear();
        }
        for process in &mut self.processes {
            process.silent = false;
            process.deaf = false;
            process.lag = Span::ZERO;
            process.wishes.wishes.lock().unwrap().clear();
        }
        for p in 0..self.processes.len() {
            self.wake(p);
        }
        self.deliver_late();
        self.configure(|config| {
            for domain in config.domains.values_mut() {
                domain.out = false;
            }
        });
    }

    /// Ends all faults and has everything that runs succeed, until all accepted
    /// work has ended or the bound is reached.
    pub fn settle(&mut self, bound: Span) {
        use jujubelb::worker::Phase;
        self.heal();
        let until = self.now + bound;
        while self.now < until && !self.is_settled() {
            for (worker, _) in &mut self.workers {
                worker.finish(0, Phase::Succeeded);
            }
            self.tick();
        }
        if !self.is_settled() {
            let left = self.oracle.unfinished();
            self.oracle
                .violations
                .push(format!("accepted work was lost: {left:?}"));
        }
    }

    pub(super) fn is_settled(&self) -> bool {
        let idle = |w: &FakeWorker| !w.running().any(|r| self.oracle.is_cancelled(&r.task.job));
        self.oracle.unfinished().is_empty() && self.workers.iter().all(|(w, _)| idle(w))
    }
}
