//! Failure domains that are partitioned or taken out of service.

use jujubelb::model::{Action, Cause, Span};
use jujubelb::shard::MAX_EVIDENCE_AGE;

use super::{IN_A, attempts, causes, finish, records, running, world};
use crate::support::world::job;

/// Guards against starts in a domain that can't read the current configuration,
/// and against stopping the tasks that run there.
#[test]
fn a_partitioned_domain_keeps_its_tasks_and_starts_none() {
    let mut world = running(1);
    for process in &mut world.processes {
        process.config_unreadable = true;
    }
    world.advance(MAX_EVIDENCE_AGE);
    world.submit(job("j4", 2, 500));
    world.advance(Span::from_secs(60));
    assert_eq!(attempts(&world), ["j2/0#1 on w0"]);
    let delayed = records(&world, 0)
        .iter()
        .any(|r| r.cause == Cause::StaleEvidence);
    assert!(delayed);
    finish(world);
}

/// Guards against a start command that takes effect long after the domain was taken out of service.
#[test]
fn a_delayed_start_is_not_executed() {
    let mut world = world();
    world.slow_starts = Some(4_400);
    world.submit(job(IN_A, 2, 1_000));
    world.advance(Span::from_millis(800));
    let owner = world.processes[0].owner.as_ref().unwrap();
    let dump = owner.dump(world.now);
    assert_eq!(dump["workers"][0]["starts_sent"], 2, "{dump}");
    world.set_out(0, true);
    world.advance(Span::from_secs(10));
    finish(world);
}

/// Guards against tasks that stay in a domain taken out of service, lose their
/// checkpoint in the handoff, or move without a chain of decision records.
#[test]
fn work_of_a_domain_taken_out_resumes_elsewhere() {
    let mut world = running(3);
    world.set_out(0, true);
    world.advance(Span::from_secs(8));
    let places = attempts(&world);
    assert_eq!(places.len(), 3, "{places:?}");
    assert!(
        places
            .iter()
            .all(|p| p.ends_with("w2") || p.ends_with("w3")),
        "{places:?}"
    );
    let resumed = world.workers.iter().flat_map(|(w, _)| w.running());
    assert!(resumed.into_iter().all(|r| r.checkpoint.is_some()));
    let why = causes(&world, 0, Action::HandOff);
    let root = &why[why.len() - 3..];
    assert_eq!(
        root[1..],
        [Cause::DomainOut, Cause::ConfigChange],
        "{why:?}"
    );
    finish(world);
}
