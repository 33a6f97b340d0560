//! Starts and the age of what is known of evacuated domains and draining workers.

use super::simulation::TIME_STEP;
use super::{Simulation, job, step};
use crate::dispatch::{MissingEvidence, Order};
use crate::model::{DomainName, Span, Time, WorkerName};

/// Runs on for a time in which the watches of the store have no answer.
fn run_unanswered(sim: &mut Simulation, span: Span) {
    sim.watches_answered = false;
    sim.run(span);
}

fn submit(sim: &mut Simulation, id: u64) {
    sim.submit(id, job(0, vec![step(1, 4, Span::from_secs(1))]));
}

/// Number of starts, a moment after a job has come.
fn starts_after_submission(sim: &mut Simulation, id: u64) -> usize {
    submit(sim, id);
    sim.run(Span::from_millis(50));
    sim.starts.len()
}

/// Guards against a start on a draining worker by a leader whose watch alone has no answer.
#[test]
fn nothing_starts_on_old_entries_while_the_store_answers() {
    let mut sim = Simulation::new(2);
    run_unanswered(&mut sim, Span::from_millis(2_200));
    assert_eq!(starts_after_submission(&mut sim, 1), 1);
    run_unanswered(&mut sim, Span::from_millis(200));
    assert_eq!(starts_after_submission(&mut sim, 2), 1);
    assert!(sim.dispatcher.missing_evidence(sim.now).entries.is_some());
    sim.confirm_evidence();
    sim.run(TIME_STEP);
    assert_eq!(sim.starts.len(), 2);
}

/// Guards against a start in a domain that has been evacuated for longer than the bound.
#[test]
fn nothing_starts_on_old_evacuations_while_the_store_answers() {
    let mut sim = Simulation::new(2);
    sim.watches_answered = false;
    let end = sim.now + Span::from_secs(5);
    while sim.now < end {
        sim.run(Span::from_millis(500));
        sim.dispatcher.confirm_entries(sim.now);
    }
    assert_eq!(starts_after_submission(&mut sim, 1), 0);
    let missing = sim.dispatcher.missing_evidence(sim.now);
    assert!(missing.evacuations.is_some() && missing.entries.is_none());
    sim.dispatcher
        .set_evacuated([DomainName::new("a"), DomainName::new("b")].into());
    sim.dispatcher.confirm_evacuations(sim.now);
    sim.run(Span::from_millis(50));
    assert_eq!(sim.starts.len(), 0);
}

/// Guards against work that ends with an outage of the store, which has no newer evidence then.
#[test]
fn work_goes_on_with_old_evidence_while_the_store_is_lost() {
    let mut sim = Simulation::new(2);
    run_unanswered(&mut sim, Span::from_secs(3));
    assert_eq!(starts_after_submission(&mut sim, 1), 0);
    sim.store_available = false;
    sim.run(TIME_STEP);
    assert_eq!(sim.starts.len(), 1);
}

/// Guards against reads of the store that no waiting task needs.
#[test]
fn no_evidence_is_missing_while_nothing_waits() {
    let mut sim = Simulation::new(2);
    run_unanswered(&mut sim, Span::from_secs(3));
    let missing = |sim: &Simulation| sim.dispatcher.missing_evidence(sim.now);
    assert_eq!(missing(&sim), MissingEvidence::default());
    submit(&mut sim, 1);
    let oldest = sim.now - Span::from_millis(2_350);
    assert_eq!(missing(&sim).entries, Some(oldest));
}

/// Guards against a start that has waited and is sent to a worker that drains or is evacuated by now.
#[test]
fn a_start_that_has_waited_is_checked_again() {
    let mut sim = Simulation::new(1);
    submit(&mut sim, 1);
    let arrived = sim.dispatcher.last_arrival();
    sim.dispatcher.term_confirmed(arrived);
    let orders = sim.dispatcher.plan(sim.wall(), sim.now);
    assert!(matches!(orders[0].order, Order::Start { .. }));
    let worker = WorkerName::new("w0");
    let is_permitted = |sim: &Simulation, at: Time| sim.dispatcher.is_start_permitted(&worker, at);
    assert!(is_permitted(&sim, sim.now + Span::from_millis(2_400)));
    assert!(!is_permitted(&sim, sim.now + Span::from_millis(2_450)));
    sim.dispatcher.set_evacuated([DomainName::new("a")].into());
    assert!(!is_permitted(&sim, sim.now));
    sim.dispatcher.set_evacuated([].into());
    assert!(is_permitted(&sim, sim.now));
    sim.worker(0).report.drain_remaining = Some(Span::from_secs(9));
    sim.list_workers();
    assert!(!is_permitted(&sim, sim.now));
}

/// Guards against starts that stop for as long as the store answers other calls only.
#[test]
fn starts_go_on_when_newer_evidence_does_not_come() {
    let mut sim = Simulation::new(2);
    run_unanswered(&mut sim, Span::from_secs(6));
    assert_eq!(starts_after_submission(&mut sim, 1), 0);
    run_unanswered(&mut sim, Span::from_secs(6));
    assert_eq!(sim.starts.len(), 1);
}
