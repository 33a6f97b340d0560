//! A policy of the product with wishes from the test.

use std::sync::{Arc, Mutex};

use jujubelb::model::{Cause, Resources, ShardName, Time};
use jujubelb::place::PlacementPolicy;
use jujubelb::shard::{Choice, Decision, FirstFit, Policy, PolicyEvent, ShardView, TeamUsage};

/// What the test wants from the policy, once.
#[derive(Debug, Clone, Copy)]
pub enum Wish {
    /// Hand the n-th queued task off to the n-th shard.
    HandOff(usize),
    /// Evict the n-th assigned task.
    Evict(usize),
    /// Give the n-th assigned task this permille of its limit.
    Resize(usize, u64),
    /// Park the job of the n-th queued task.
    Park(usize),
    /// Put the first worker into quarantine or take it out.
    Quarantine(bool),
    /// Assign each queued task to each worker with a limit of its whole capacity.
    Overcommit,
}

/// The policy that decides beside the wishes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Base {
    FirstFit,
    Place,
}

const SEED: u64 = 20_261_204;

#[derive(Debug)]
pub struct Scripted {
    pub wishes: Arc<Mutex<Vec<Wish>>>,
    place: Option<Box<PlacementPolicy>>,
}

impl Scripted {
    pub fn new(base: Base) -> Self {
        let place = (base == Base::Place).then(|| Box::new(PlacementPolicy::new(SEED)));
        Self {
            wishes: Arc::default(),
            place,
        }
    }

    /// The policy of a new owner: the same wishes and no estimates.
    pub fn renewed(&self) -> Self {
        let place = self.place.as_ref();
        Self {
            wishes: self.wishes.clone(),
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

impl Policy for Scripted {
    fn choose(&mut self, view: &ShardView<'_>) -> Vec<Decision> {
        let wishes = std::mem::take(&mut *self.wishes.lock().unwrap());
        let mut decisions: Vec<_> = wishes.into_iter().flat_map(|w| fulfil(w, view)).collect();
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

fn fulfil(wish: Wish, view: &ShardView<'_>) -> Vec<Decision> {
    let queued: Vec<_> = view
        .state
        .queued_tasks()
        .map(|(id, _, _)| id.clone())
        .collect();
    let assigned: Vec<_> = view
        .workers
        .values()
        .flat_map(|w| w.assigned.clone())
        .collect();
    let mut choices = Vec::new();
    match wish {
        Wish::HandOff(n) if !queued.is_empty() => choices.push(Choice::HandOff {
            task: queued[n % queued.len()].clone(),
            to: other_shard(view, n),
        }),
        Wish::Evict(n) if !assigned.is_empty() => choices.push(Choice::Evict {
            task: assigned[n % assigned.len()].task.clone(),
        }),
        Wish::Resize(n, permille) if !assigned.is_empty() => {
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
        Wish::Park(n) if !queued.is_empty() => choices.push(Choice::Park {
            job: queued[n % queued.len()].job.clone(),
        }),
        Wish::Quarantine(on) => {
            let worker = view.workers.keys().next().unwrap().clone();
            choices.push(match on {
                true => Choice::Quarantine { worker },
                false => Choice::Readmit { worker },
            });
        }
        Wish::Overcommit => {
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
