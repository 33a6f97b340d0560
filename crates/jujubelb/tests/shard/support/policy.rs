//! A policy of the product that also carries out commands from the test.

use std::sync::{Arc, Mutex};

use jujubelb::model::{Cause, Resources, ShardName, Time};
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{Choice, Decision, FirstFit, Policy, PolicyEvent, ShardView, TeamUsage};

/// A decision that the test demands from the policy once.
#[derive(Debug, Clone, Copy)]
pub enum PolicyCommand {
    /// Hand the n-th queued task off to the n-th other shard.
    HandOff(usize),
    /// Evict the n-th assigned task.
    Evict(usize),
    /// Resize the n-th assigned task to this permille of its limit.
    Resize(usize, u64),
    /// Park the job of the n-th queued task.
    Park(usize),
    /// Quarantine the first worker or end its quarantine.
    Quarantine(bool),
    /// Assign each queued task to every worker with the worker's full capacity as its limit.
    Overcommit,
}

/// Policy of the product that decides after the commands are carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BasePolicy {
    FirstFit,
    Place,
}

const SEED: u64 = 20_261_204;

#[derive(Debug)]
pub struct ScriptedPolicy {
    pub commands: Arc<Mutex<Vec<PolicyCommand>>>,
    place: Option<Box<PlacementPolicy>>,
}

impl ScriptedPolicy {
    pub fn new(base: BasePolicy) -> Self {
        let place = (base == BasePolicy::Place).then(|| Box::new(PlacementPolicy::new(SEED)));
        Self {
            commands: Arc::default(),
            place,
        }
    }

    /// Returns the policy of a new owner, with the same commands and without estimates.
    pub fn for_new_owner(&self) -> Self {
        let place = self.place.as_ref();
        Self {
            commands: self.commands.clone(),
            place: place.map(|_| Box::new(PlacementPolicy::new(SEED))),
        }
    }

    fn base(&self) -> &dyn Policy {
        match &self.place {
            Some(place) => place.as_ref(),
            None => &FirstFit,
        }
    }
}

impl Policy for ScriptedPolicy {
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision> {
        let commands = std::mem::take(&mut *self.commands.lock().unwrap());
        let mut decisions: Vec<_> = commands
            .into_iter()
            .flat_map(|command| decisions_for(command, view))
            .collect();
        decisions.extend(match &mut self.place {
            Some(place) => place.choose(view),
            None => FirstFit.choose(view),
        });
        decisions
    }

    fn on_event(&mut self, now: Time, news: PolicyEvent<'_>) {
        if let Some(place) = &mut self.place {
            place.on_event(now, news);
        }
    }

    fn save(&self) -> Vec<u8> {
        self.base().save()
    }

    fn restore(&mut self, saved: &[u8]) {
        if let Some(place) = &mut self.place {
            place.restore(saved);
        }
    }

    fn team_usage(&self, view: &ShardView<'_>) -> Vec<TeamUsage> {
        self.base().team_usage(view)
    }

    fn dump(&self) -> serde_json::Value {
        self.base().dump()
    }
}

fn decisions_for(command: PolicyCommand, view: &ShardView<'_>) -> Vec<Decision> {
    let queued: Vec<_> = view
        .state
        .queued_tasks()
        .map(|(id, _, _)| id.clone())
        .collect();
    let assigned: Vec<_> = view
        .workers
        .values()
        .flat_map(|worker| worker.assigned.clone())
        .collect();
    let mut choices = Vec::new();
    match command {
        PolicyCommand::HandOff(n) if !queued.is_empty() => choices.push(Choice::HandOff {
            task: queued[n % queued.len()].clone(),
            to: other_shard(view, n),
        }),
        PolicyCommand::Evict(n) if !assigned.is_empty() => choices.push(Choice::Evict {
            task: assigned[n % assigned.len()].task.clone(),
        }),
        PolicyCommand::Resize(n, permille) if !assigned.is_empty() => {
            let occupant = &assigned[n % assigned.len()];
            let limit = occupant.limit;
            choices.push(Choice::Resize {
                task: occupant.task.clone(),
                limit: Resources::new(
                    limit.cpu.0 * permille / 1000,
                    limit.memory.0 * permille / 1000,
                    limit.accelerators,
                ),
            });
        }
        PolicyCommand::Park(n) if !queued.is_empty() => choices.push(Choice::Park {
            job: queued[n % queued.len()].job.clone(),
        }),
        PolicyCommand::Quarantine(on) => {
            let worker = view.workers.keys().next().unwrap().clone();
            choices.push(match on {
                true => Choice::Quarantine { worker },
                false => Choice::Readmit { worker },
            });
        }
        PolicyCommand::Overcommit => {
            for task in queued {
                for (worker, view) in view.workers {
                    choices.push(Choice::Assign {
                        task: task.clone(),
                        worker: worker.clone(),
                        limit: view.capacity,
                    });
                }
            }
        }
        _ => {}
    }
    let decide = |choice| Decision {
        choice,
        cause: Cause::Requested,
        facts: Vec::new(),
        parent: None,
    };
    choices.into_iter().map(decide).collect()
}

fn other_shard(view: &ShardView<'_>, n: usize) -> ShardName {
    let others: Vec<_> = view
        .config
        .shards
        .keys()
        .filter(|s| *s != view.shard)
        .collect();
    others[n % others.len()].clone()
}
