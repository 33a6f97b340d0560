//! The thread that deletes configuration contents to which no head refers any more.

use super::Scheduler;
use crate::config::head::Sweeper;
use crate::model::{Revision, Span};
use crate::peer::{Liveness, Role};
use crate::process::Running;

/// Interval between steps. A step reads up to 4 MiB, and unused contents are
/// retained for an hour in any case, so a shorter interval gains nothing.
const SWEEP_INTERVAL: Span = Span::from_secs(600);

/// Runs until the process ends. Only the live scheduler with the lowest name sweeps.
pub(super) fn run(scheduler: &Scheduler, running: &Running) {
    let process = &scheduler.process;
    let mut sweeper = Sweeper::default();
    let mut next = process.clock.now() + SWEEP_INTERVAL;
    while running.wait(SWEEP_INTERVAL) {
        let now = process.clock.now();
        if now < next || process.active_config.revision() == Revision::default() {
            continue;
        }
        next = now + SWEEP_INTERVAL;
        let is_lowest = scheduler.peers.with_membership(|members| {
            let mut live_schedulers = members.of_role(Role::Scheduler);
            !live_schedulers
                .any(|m| m.liveness == Liveness::Alive && m.heartbeat.node < process.node)
        });
        if !is_lowest {
            continue;
        }
        match sweeper.step(&*process.store, now) {
            Ok(0) => {}
            Ok(count) => {
                log::info!(count = count; "unused configuration contents were deleted")
            }
            Err(error) => {
                log::warn!(error:% = error; "unused configuration contents could not be deleted")
            }
        }
    }
}
