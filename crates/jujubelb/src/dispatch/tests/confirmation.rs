//! Which jobs a leader starts before the store has confirmed its term.

use super::{Simulation, job, step};
use crate::dispatch::{Arrival, JobKey, JobRecord, Order};
use crate::model::Span;

/// A leader that knows its workers and has confirmed all that arrived, and gets no answer of the
/// store from now on.
fn cut_leader() -> Simulation {
    let mut sim = Simulation::new(2);
    sim.run(Span::from_secs(1));
    sim.store_available = false;
    sim
}

/// Jobs of which tasks start in the next pass.
fn started_jobs(sim: &mut Simulation) -> Vec<JobKey> {
    let orders = sim.dispatcher.plan(sim.wall(), sim.now);
    let mut jobs = Vec::new();
    for order in orders {
        if let Order::Start { task, .. } = order.order {
            jobs.push(task.step.job);
        }
    }
    jobs
}

fn job_with(term_token: Option<u64>) -> JobRecord {
    JobRecord {
        term_token,
        ..job(0, vec![step(1, 2, Span::from_millis(200))])
    }
}

/// Guards against jobs that wait for the store although their record proves that every later
/// leader reads them.
#[test]
fn a_job_stored_under_the_own_token_starts_without_the_store() {
    let mut sim = cut_leader();
    let token = sim.dispatcher.term().token;
    let own = sim.submit(1, job_with(Some(token)));
    assert!(!sim.dispatcher.needs_confirmation());
    assert_eq!(started_jobs(&mut sim), [own]);
}

/// Guards against a start of a job that a newer leader may take for its own.
#[test]
fn a_job_of_another_term_or_none_waits_for_the_store() {
    let mut sim = cut_leader();
    let token = sim.dispatcher.term().token;
    for (id, other) in [(1, None), (2, Some(token - 1)), (3, Some(token + 1))] {
        sim.submit(id, job_with(other));
    }
    assert!(sim.dispatcher.needs_confirmation());
    assert_eq!(started_jobs(&mut sim), []);
    let arrived = sim.dispatcher.last_arrival();
    assert!(arrived > Arrival::default());
    sim.dispatcher.term_confirmed(arrived);
    assert_eq!(started_jobs(&mut sim).len(), 3);
}

/// Guards against a start on a worker that may have restarted after a newer leader had reached
/// it: its new incarnation obeys an old leader, which has no proof for the job but its token.
#[test]
fn a_job_waits_for_the_answer_of_a_worker_that_may_have_restarted() {
    let mut sim = cut_leader();
    let token = sim.dispatcher.term().token;
    for name in sim.dispatcher.workers() {
        if let Some(request) = sim.dispatcher.poll(&name, sim.now) {
            sim.dispatcher.poll_failed(&name, &request, false, sim.now);
        }
    }
    let own = sim.submit(1, job_with(Some(token)));
    assert_eq!(started_jobs(&mut sim), []);
    for name in sim.dispatcher.workers() {
        sim.poll_by_name(&name);
    }
    assert_eq!(started_jobs(&mut sim), [own]);
}
