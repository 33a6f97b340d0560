//! Steps that may run only where their queue's policy service says.

use super::{World, job, step};
use crate::dispatch::JobRecord;
use crate::model::Span;

fn advised(record: JobRecord) -> JobRecord {
    JobRecord {
        queue: crate::dispatch::QueueSettings {
            ticket_lifetime: Some(Span::from_secs(2)),
            ..record.queue
        },
        ..record
    }
}

/// Guards against starts without a ticket or with one that is no longer good,
/// and against jobs that never start because the best worker is not allowed.
#[test]
fn steps_run_where_the_policy_allows() {
    let mut world = World::new(4);
    let record = job(0, vec![step(24, 8, Span::from_millis(700))]);
    let key = world.submit(1, advised(record));
    world.run(Span::from_millis(200));
    assert!(world.starts.is_empty());
    for _ in 0..60 {
        world.advise(&[2], Span::from_secs(1));
        world.run(Span::from_millis(100));
    }
    assert!(world.completed.contains_key(&key));
    let elsewhere = world.starts.iter().filter(|(_, w, ..)| w.as_str() != "w2");
    assert_eq!(elsewhere.count(), 0);
    assert_eq!(world.bad_tickets, 0);
}

/// A ticket holds for one life of its worker: after a restart the policy service
/// is asked again instead of starting with the old one.
#[test]
fn tickets_do_not_outlive_a_restart() {
    let mut world = World::new(1);
    let long = job(0, vec![step(1, 8, Span::from_secs(2))]);
    let key = world.submit(1, advised(long));
    world.advise(&[0], Span::from_secs(30));
    world.run(Span::from_millis(500));
    assert_eq!(world.running(key), 1);
    world.kill(0);
    world.run(Span::from_millis(300));
    world.revive(0);
    world.list();
    world.run(Span::from_secs(2));
    assert_eq!(world.running(key), 0);
    assert!(world.dispatcher.next_ticket_request(world.now).is_some());
    world.advise(&[0], Span::from_secs(30));
    world.run(Span::from_millis(500));
    assert_eq!(world.running(key), 1);
}

/// Steps of other queues need no ticket, and nothing is asked for them.
#[test]
fn other_queues_ask_nobody() {
    let mut world = World::new(1);
    let key = world.submit(1, job(0, vec![step(30, 8, Span::from_millis(300))]));
    world.run(Span::from_millis(100));
    assert!(world.dispatcher.next_ticket_request(world.now).is_none());
    world.run(Span::from_secs(2));
    assert!(world.completed.contains_key(&key));
}
