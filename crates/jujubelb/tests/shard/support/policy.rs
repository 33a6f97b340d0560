//! First fit with wishes from the test.

use std::sync::{Arc, Mutex};

use jujubelb::model::{Cause, Resources, ShardName, Time};
use jujubelb::shard::{Choice, Decision, FirstFit, News, Policy, View};

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

#[derive(Debug, Default, Clone)]
pub struct Scripted {
    pub wishes: Arc<Mutex<Vec<Wish>>>,
}

impl Policy for Scripted {
    fn choose(&mut self, view: &View<'_>) -> Vec<Decision> {
        let wishes = std::mem::take(&mut *self.wishes.lock().unwrap());
        let mut decisions: Vec<_> = wishes.into_iter().flat_map(|w| fulfil(w, view)).collect();
        decisions.extend(FirstFit.choose(view));
        decisions
    }

    fn note(&mut self, now: Time, news: News<'_>) {
        FirstFit.note(now, news);
    }
}

fn fulfil(wish: Wish, view: &View<'_>) -> Vec<Decision> {
    let queued: Vec<_> = view.state.queued().map(|(id, _, _)| id.clone()).collect();
    let occupants: Vec<_> = view
        .workers
        .values()
        .flat_map(|w| w.occupants.clone())
        .collect();
    let mut choices = Vec::new();
    match wish {
        Wish::HandOff(n) if !queued.is_empty() => choices.push(Choice::HandOff {
            task: queued[n % queued.len()].clone(),
            to: other_shard(view, n),
        }),
        Wish::Evict(n) if !occupants.is_empty() => choices.push(Choice::Evict {
            task: occupants[n % occupants.len()].task.clone(),
        }),
        Wish::Resize(n, permille) if !occupants.is_empty() => {
            let occupant = &occupants[n % occupants.len()];
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

fn other_shard(view: &View<'_>, n: usize) -> ShardName {
    let others: Vec<_> = view
        .config
        .shards
        .keys()
        .filter(|s| *s != view.shard)
        .collect();
    others[n % others.len()].clone()
}
