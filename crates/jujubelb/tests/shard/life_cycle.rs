//! Life cycle of a job without faults.

use jujubelb::config::Config;
use jujubelb::model::{Code, JobName, Span};
use jujubelb::shard::home_shard;
use jujubelb::worker::Phase;

use super::support::world::{InjectedBug, World, job};

/// Guards against a job that is lost, run twice or not answered although no fault occurs.
#[test]
fn a_job_is_accepted_run_and_completed_exactly_once() {
    let mut world = World::new(InjectedBug::None);
    world.advance(Span::from_secs(3));
    world.submit(job("j0", 6, 1_000));
    world.advance(Span::from_secs(3));
    assert_eq!(world.submit_codes["j0"], Code::Accepted);
    let running: usize = world.workers.iter().map(|(w, _)| w.running().count()).sum();
    assert_eq!(
        running,
        6,
        "{:#?}",
        world.processes[0].owner.as_ref().map(|o| o.tasks())
    );
    world.submit(job("j0", 6, 1_000));
    assert_eq!(world.submit_codes["j0"], Code::AlreadyAccepted);
    world.submit(job("j0", 7, 1_000));
    assert_eq!(world.submit_codes["j0"], Code::JobConflict);
    for (worker, _) in &mut world.workers {
        while worker.finish(0, Phase::Succeeded).is_some() {}
    }
    world.advance(Span::from_secs(3));
    assert!(world.oracle.unfinished().is_empty());
    assert_eq!(world.oracle.completed.len(), 6);
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}

/// Guards against a home shard that changes for most jobs when a shard is added,
/// and against one in a domain that is out of service.
#[test]
fn the_proposed_home_of_a_job_is_stable_and_in_service() {
    let mut world = World::new(InjectedBug::None);
    let jobs: Vec<_> = (0..300).map(|n| JobName::new(format!("job-{n}"))).collect();
    let homes = |config: &Config| -> Vec<_> {
        let home = |job| home_shard(config, job).unwrap().to_string();
        jobs.iter().map(home).collect()
    };
    let before = homes(&world.config_at(world.now));
    assert!(
        before
            .iter()
            .filter(|home| *home == "a")
            .count()
            .abs_diff(150)
            < 40
    );
    world.configure(|config| {
        let shard = config.shards["a"].clone();
        config.shards.insert("c".into(), shard);
    });
    let after = homes(&world.config_at(world.now));
    let moved = before.iter().zip(&after).filter(|(b, a)| b != a);
    assert!(moved.clone().all(|(_, home)| home == "c"));
    assert!(moved.count().abs_diff(100) < 35);
    world.set_out(0, true);
    assert!(
        homes(&world.config_at(world.now))
            .iter()
            .all(|home| home == "b")
    );
}
