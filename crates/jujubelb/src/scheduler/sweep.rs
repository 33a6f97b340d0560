//! The thread that removes configuration contents that no head names any more.

use super::Scheduler;
use crate::config::head::Sweeper;
use crate::model::{Revision, Span};
use crate::peer::{Liveness, Role};
use crate::process::Running;

/// Interval of the steps. A step reads up to 4 MiB; unused contents stay for an hour anyway.
const EVERY: Span = Span::from_secs(600);

/// Sweeps until the process ends, in the live scheduler with the lowest name.
pub(super) fn run(scheduler: &Scheduler, running: &Running) {
    let process = &scheduler.process;
    let mut sweeper = Sweeper::default();
    let mut next = process.clock.now() + EVERY;
    while running.wait(EVERY) {
        let now = process.clock.now();
        if now < next || process.board.revision() == Revision::default() {
            continue;
        }
        next = now + EVERY;
        let first = scheduler.peers.with_membership(|members| {
            let mut live = members.of_role(Role::Scheduler);
            !live.any(|m| m.liveness == Liveness::Alive && m.heartbeat.node < process.node)
        });
        if !first {
            continue;
        }
        match sweeper.step(&*process.store, now) {
            Ok(0) => {}
            Ok(count) => {
                log::info!(count = count; "unused contents of the configuration were removed")
            }
            Err(error) => log::warn!(error:% = error; "unused contents could not be removed"),
        }
    }
}
