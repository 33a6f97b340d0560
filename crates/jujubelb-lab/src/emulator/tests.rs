//! Workers that come and go.

use std::sync::Arc;
use std::time::Duration;

use super::fleet::Fleet;
use super::history::History;
use super::worker::Machine;

/// Guards against a worker that vanishes without a record of its end when two faults at its
/// place overlap: its runs would count as going on, and their next starts as second runs.
#[test]
fn a_worker_that_is_up_is_not_replaced() {
    let machine = Machine {
        service: "main".into(),
        zone: "za".into(),
        rack: "r0".into(),
        cpu: 64_000,
        memory: 256_000,
        guards_room: true,
        clock_rate: 1.0,
    };
    let fleet = Fleet::new(vec![machine], Arc::new(History::new()), 1);
    fleet.kill(0);
    fleet.revive(0, false);
    let life = |fleet: &Fleet| {
        let named = |worker: &mut super::worker::Worker, _: Option<Duration>, _: Duration| {
            worker.life.clone()
        };
        fleet.with(0, named)
    };
    let before = life(&fleet);
    fleet.revive(0, false);
    assert!(before.is_some());
    assert_eq!(life(&fleet), before);
}
