//! Single failures of a shard's parts, with the behaviour that operators can rely on.

mod domains;
mod handoffs;
mod jobs;
mod owners;
mod store;
mod workers;

use jujubelb::model::{Action, Cause, Record, Span};

use super::support::ops::COMPLETION_TIMEOUT;
use super::support::world::{InjectedBug, World, job};

const SECOND: Span = Span::from_secs(1);

/// Names of jobs by home shard, which follows from the parity of the sum of their bytes.
const IN_A: &str = "j2";
const IN_B: &str = "j3";

fn world() -> World {
    let mut world = World::new(InjectedBug::None);
    world.advance(SECOND + SECOND);
    world
}

/// A simulation in which a job of shard a runs with this many tasks.
fn running(tasks: u32) -> World {
    let mut world = world();
    world.submit(job(IN_A, tasks, 1_000));
    world.advance(SECOND + SECOND);
    assert_eq!(started(&world), tasks as usize);
    world
}

fn started(world: &World) -> usize {
    world.workers.iter().map(|(w, _)| w.running().count()).sum()
}

fn attempts(world: &World) -> Vec<String> {
    let all = world.workers.iter().flat_map(|(w, _)| {
        w.running()
            .map(|r| format!("{}#{} on {}", r.task, r.attempt, w.name))
    });
    all.collect()
}

fn finish(mut world: World) {
    world.run_to_completion(COMPLETION_TIMEOUT);
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

fn records(world: &World, p: usize) -> Vec<Record> {
    let owner = world.processes[p].owner.as_ref().unwrap();
    owner.records(world.now, None, None)
}

/// Returns the causes of the newest record with this action and of its parents, up to the root.
fn causes(world: &World, p: usize, action: Action) -> Vec<Cause> {
    let records = records(world, p);
    let mut next = records.iter().rev().find(|r| r.action == action);
    let mut causes = Vec::new();
    while let Some(record) = next {
        causes.push(record.cause);
        let parent = record.parent.as_ref();
        next = parent.and_then(|id| records.iter().find(|r| &r.id == id));
    }
    causes
}
