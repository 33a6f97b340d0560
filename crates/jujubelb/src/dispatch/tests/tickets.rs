//! Steps that may run only on workers for which the queue's policy service issues tickets.

use arcstr::ArcStr;

use super::simulation::Fault;
use super::{Simulation, job, long_running, step};
use crate::dispatch::{JobKey, JobRecord, Step};
use crate::model::Span;

fn with_policy_service(record: JobRecord) -> JobRecord {
    JobRecord {
        queue: crate::dispatch::QueueSettings {
            ticket_lifetime: Some(Span::from_secs(2)),
            ..record.queue
        },
        ..record
    }
}

/// Guards against starts without a valid ticket, and against jobs that never start because
/// the best worker is denied.
#[test]
fn steps_run_where_the_policy_service_allows() {
    let mut sim = Simulation::new(4);
    let record = job(0, vec![step(24, 8, Span::from_millis(700))]);
    let key = sim.submit(1, with_policy_service(record));
    sim.run(Span::from_millis(200));
    assert!(sim.starts.is_empty());
    for _ in 0..60 {
        sim.grant_tickets(&[2], Span::from_secs(1));
        sim.run(Span::from_millis(100));
    }
    assert!(sim.completed.contains_key(&key));
    let elsewhere = sim.starts.iter().filter(|(_, w, ..)| w.as_str() != "w2");
    assert_eq!(elsewhere.count(), 0);
    assert_eq!(sim.rejected_tickets, 0);
}

/// Guards against using a ticket for a restarted worker. A ticket is valid for one
/// incarnation, so the policy service has to be asked again.
#[test]
fn tickets_do_not_outlive_a_worker_restart() {
    let mut sim = Simulation::new(1);
    let long = job(0, vec![step(1, 8, Span::from_secs(2))]);
    let key = sim.submit(1, with_policy_service(long));
    sim.grant_tickets(&[0], Span::from_secs(30));
    sim.run(Span::from_millis(500));
    assert_eq!(sim.running(key), 1);
    sim.crash_worker(0);
    sim.run(Span::from_millis(300));
    sim.restart_worker(0);
    sim.list_workers();
    sim.run(Span::from_secs(2));
    assert_eq!(sim.running(key), 0);
    assert!(sim.dispatcher.next_ticket_request(sim.now).is_some());
    sim.grant_tickets(&[0], Span::from_secs(30));
    sim.run(Span::from_millis(500));
    assert_eq!(sim.running(key), 1);
}

/// Guards against ticket requests for queues without a policy service.
#[test]
fn queues_without_a_policy_service_need_no_tickets() {
    let mut sim = Simulation::new(1);
    let key = sim.submit(1, job(0, vec![step(30, 8, Span::from_millis(300))]));
    sim.run(Span::from_millis(100));
    assert!(sim.dispatcher.next_ticket_request(sim.now).is_none());
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against jobs that wait for good behind a step of the same size that has no tickets.
#[test]
fn a_step_without_tickets_hides_none_that_needs_no_ticket() {
    let mut sim = Simulation::new(4);
    sim.submit(
        1,
        with_policy_service(job(0, vec![step(1, 8, Span::from_secs(1))])),
    );
    let key = sim.submit(2, job(1, vec![step(4, 8, Span::from_millis(300))]));
    sim.run(Span::from_secs(2));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against a step that waits for good because no tickets are requested for unhealthy
/// workers, and no other task comes to probe the only one that may run it.
#[test]
fn tickets_are_requested_for_workers_that_are_due_a_probe() {
    let mut sim = Simulation::new(4);
    sim.worker(0).fault = Fault::Failing;
    for i in 10..14 {
        let record = job(0, vec![step(1, 8, Span::from_millis(300))]);
        sim.submit(i, with_policy_service(record));
        for _ in 0..10 {
            sim.grant_tickets(&[0], Span::from_secs(1));
            sim.run(Span::from_millis(100));
        }
    }
    assert_eq!(sim.dispatcher.summary().sick, 1);
    for key in [10, 11, 12, 13] {
        sim.cancel(JobKey(key));
    }
    sim.run(Span::from_secs(5));
    sim.worker(0).fault = Fault::None;
    let record = job(0, vec![step(1, 8, Span::from_millis(300))]);
    let key = sim.submit(100, with_policy_service(record));
    for _ in 0..70 {
        sim.grant_tickets(&[0], Span::from_secs(1));
        sim.run(Span::from_millis(100));
    }
    assert!(sim.completed.contains_key(&key));
}

/// Guards against a best-effort step that waits for good because the only worker with a ticket has
/// serving tasks that it would disturb, and no tickets are requested for others.
#[test]
fn tickets_are_requested_although_the_allowed_worker_can_not_spare_headroom() {
    let mut sim = Simulation::new(2);
    let serving = Step {
        data_rack: Some(ArcStr::from("r0")),
        ..long_running(1, 2)
    };
    let serving = sim.submit(1, job(0, vec![serving]));
    sim.run(Span::from_secs(1));
    let other = usize::from(sim.runs_on(0) > 0);
    assert_eq!(sim.running(serving), 1);
    let blocker = sim.submit(2, job(0, vec![step(1, 64, Span::from_secs(3))]));
    sim.run(Span::from_millis(300));
    assert_eq!(sim.runs_on(other), 1);
    let best_effort = Step {
        best_effort: true,
        image: Some(ArcStr::from("heavy")),
        ..step(1, 60, Span::from_millis(300))
    };
    let key = sim.submit(3, with_policy_service(job(0, vec![best_effort])));
    for _ in 0..80 {
        sim.grant_tickets(&[0, 1], Span::from_secs(600));
        sim.run(Span::from_millis(100));
    }
    assert!(sim.completed.contains_key(&blocker));
    assert!(sim.completed.contains_key(&key));
}

/// Guards against a step that waits for good because a gang without room goes first and asks again
/// and again, since its first tickets expire before it has asked about all workers.
#[test]
fn a_waiting_gang_leaves_ticket_requests_to_other_steps() {
    let mut sim = Simulation::new(65);
    sim.submit(1, job(0, vec![long_running(1, 1)]));
    sim.run(Span::from_millis(200));
    let gang = Step {
        gang: true,
        ..step(65, 64, Span::from_secs(1))
    };
    let gang = sim.submit(2, with_policy_service(job(0, vec![gang])));
    let record = job(1, vec![step(1, 8, Span::from_millis(300))]);
    let key = sim.submit(3, with_policy_service(record));
    let allowed: Vec<usize> = (0..65).collect();
    for _ in 0..30 {
        sim.grant_tickets(&allowed, Span::from_millis(500));
        sim.run(Span::from_millis(100));
    }
    assert_eq!(sim.running(gang), 0);
    assert!(sim.completed.contains_key(&key));
}

/// Guards against a late best-effort job for which no tickets are requested, since the serving
/// tasks on each worker can't spare the headroom that its image takes.
#[test]
fn tickets_are_requested_for_starved_steps() {
    let mut sim = Simulation::new(1);
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(Span::from_millis(2_500));
    let batch = |count| Step {
        image: Some("heavy".into()),
        best_effort: true,
        ..step(count, 20, Span::from_secs(1))
    };
    sim.submit(2, job(2, vec![batch(2)]));
    sim.run(Span::from_secs(6));
    let key = sim.submit(3, with_policy_service(job(2, vec![batch(2)])));
    for _ in 0..100 {
        sim.grant_tickets(&[0], Span::from_secs(2));
        sim.run(Span::from_millis(200));
    }
    assert!(sim.completed.contains_key(&key));
}

/// Guards against a refused job that has no ticket for as long as it can be in time.
#[test]
fn tickets_are_requested_for_refused_steps_that_can_be_in_time() {
    let mut sim = Simulation::new(1);
    sim.worker(0).own_tail = 85;
    sim.submit(1, job(0, vec![long_running(2, 10)]));
    sim.run(Span::from_millis(2_500));
    let batch = Step {
        image: Some("heavy".into()),
        best_effort: true,
        ..step(1, 6, Span::from_secs(120))
    };
    let key = sim.submit(2, with_policy_service(job(2, vec![batch])));
    for _ in 0..150 {
        sim.grant_tickets(&[0], Span::from_secs(2));
        sim.run(Span::from_millis(200));
    }
    assert!(sim.starts.iter().any(|(_, _, t, _)| t.step.job == key));
}
