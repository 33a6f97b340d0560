//! The plain life of a job.

use jujubelb::model::{Code, Span};
use jujubelb::worker::Phase;

use super::support::world::{Sabotage, World, job};

/// Guards against a job that is lost, run twice or not answered without any fault.
#[test]
fn a_job_is_accepted_run_and_completed_exactly_once() {
    let mut world = World::new(Sabotage::None);
    world.advance(Span::from_secs(3));
    world.submit(job("j0", 6, 1_000));
    world.advance(Span::from_secs(3));
    assert_eq!(world.last_codes["j0"], Code::Accepted);
    let running: usize = world.workers.iter().map(|(w, _)| w.running().count()).sum();
    assert_eq!(
        running,
        6,
        "{:#?}",
        world.processes[0].owner.as_ref().map(|o| o.tasks())
    );
    world.submit(job("j0", 6, 1_000));
    assert_eq!(world.last_codes["j0"], Code::AlreadyAccepted);
    world.submit(job("j0", 7, 1_000));
    assert_eq!(world.last_codes["j0"], Code::JobConflict);
    for (worker, _) in &mut world.workers {
        while worker.finish(0, Phase::Succeeded).is_some() {}
    }
    world.advance(Span::from_secs(3));
    assert!(world.oracle.unfinished().is_empty());
    assert_eq!(world.oracle.completed.len(), 6);
    assert_eq!(world.oracle.violations, Vec::<String>::new());
}
