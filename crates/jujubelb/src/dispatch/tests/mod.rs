//! Tests of the dispatcher with simulated workers and simulated time.

mod simulation;

mod admission;
mod commits;
mod confirmation;
mod crash_evidence;
mod crashes;
mod customers;
mod delay_costs;
mod encoding;
mod extreme_jobs;
mod flapping_workers;
mod gangs;
mod health;
mod inherited_state;
mod interference;
mod late_calls;
mod leader_changes;
mod leases;
mod odd_workers;
mod outdated_grants;
mod overlapping_terms;
mod paces;
mod paused_leaders;
mod queueing;
mod second_runs;
mod settling;
mod start_evidence;
mod starvation;
mod stops;
mod succession;
mod tickets;
mod unanswered_starts;
mod unnoticed_restarts;
mod waits;
mod withdrawn_workers;

pub(super) use simulation::{Simulation, job, long_running, step};
