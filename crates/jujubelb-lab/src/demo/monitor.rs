//! Polls the active configuration of every process and checks invariant P10: an accepted change
//! becomes active everywhere in time, and no process returns to an older revision.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use indexmap::IndexMap;
use jujubelb::model::{Revision, Span, Time};

use super::operator::Operator;
use crate::standin::ledger::{Invariant, Ledger};
use crate::standin::platform::Clock;

/// Time within which an accepted change has to be active in every process.
pub const MAX_ACTIVATION_TIME: Span = Span::from_secs(5);

/// Pause between two polls of all processes.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Accepted changes and the revisions that processes have reported.
#[derive(Debug, Default)]
struct RevisionState {
    /// All accepted changes with their time of acceptance.
    accepted: Vec<(Revision, Time)>,
    /// Highest revision reported by each process.
    highest: IndexMap<SocketAddr, Revision>,
    /// Processes that are stopped or starting, which are not checked.
    absent: IndexMap<SocketAddr, ()>,
}

/// Checks the active revision of processes on a thread of its own.
pub struct RevisionMonitor {
    state: Arc<Mutex<RevisionState>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl RevisionMonitor {
    /// Starts polling `processes`, which are addresses of operator interfaces. Checks go to
    /// `ledger`.
    pub fn start(
        operator: Operator,
        processes: Vec<SocketAddr>,
        ledger: Arc<Mutex<Ledger>>,
        clock: Clock,
    ) -> Self {
        let state = Arc::<Mutex<RevisionState>>::default();
        let stop = Arc::<AtomicBool>::default();
        let (shared, stopped) = (Arc::clone(&state), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                for address in &processes {
                    check_process(&operator, *address, &shared, &ledger, clock);
                }
                std::thread::sleep(POLL_INTERVAL);
            }
        });
        Self {
            state,
            stop,
            thread: Some(thread),
        }
    }

    /// Registers a change that was accepted at `now`.
    pub fn change_accepted(&self, revision: Revision, now: Time) {
        lock(&self.state).accepted.push((revision, now));
    }

    /// Suspends the checks of a process while it stops or starts, or resumes them.
    pub fn set_absent(&self, process: SocketAddr, absent: bool) {
        let mut state = lock(&self.state);
        if absent {
            state.absent.insert(process, ());
        } else {
            state.absent.shift_remove(&process);
        }
    }

    /// Stops polling and waits for the thread to end.
    pub fn finish(mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn check_process(
    operator: &Operator,
    process: SocketAddr,
    state: &Mutex<RevisionState>,
    ledger: &Mutex<Ledger>,
    clock: Clock,
) {
    if lock(state).absent.contains_key(&process) {
        return;
    }
    let requested_at = clock.now();
    let Ok(view) = operator.config(process) else {
        return;
    };
    let revision = view.change.map_or(Revision(0), |c| c.revision);
    let mut state = lock(state);
    if state.absent.contains_key(&process) {
        return;
    }
    let highest = state.highest.entry(process).or_default();
    let before = *highest;
    *highest = before.max(revision);
    let required = state
        .accepted
        .iter()
        .filter(|(_, at)| requested_at.since(*at) > MAX_ACTIVATION_TIME);
    let required = required.map(|(r, _)| *r).max();
    let mut ledger = lock(ledger);
    ledger.check(Invariant::P10, revision >= before, || {
        format!("{process} went back from revision {before} to {revision}")
    });
    if let Some(required) = required {
        ledger.check(Invariant::P10, revision >= required, || {
            format!("{process} has revision {revision} although {required} was accepted more than {MAX_ACTIVATION_TIME} ago")
        });
    }
}
