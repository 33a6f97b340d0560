//! Watches the configuration in force in every process.

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

/// Time in which an accepted change has to be in force in every process.
pub const IN_FORCE: Span = Span::from_secs(5);

/// Pause between two rounds over all processes.
const ROUND: Duration = Duration::from_millis(250);

/// What is known of the changes and the processes.
#[derive(Debug, Default)]
struct Seen {
    /// Accepted changes that are not yet known to be in force everywhere, with the time of acceptance.
    pending: Vec<(Revision, Time)>,
    /// Highest revision seen in each process.
    highest: IndexMap<SocketAddr, Revision>,
    /// Processes that are stopped or starting, which are not judged.
    absent: IndexMap<SocketAddr, ()>,
}

/// The watch.
pub struct Watch {
    seen: Arc<Mutex<Seen>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    /// Starts to watch the processes with these operators' addresses.
    pub fn start(
        operator: Operator,
        processes: Vec<SocketAddr>,
        ledger: Arc<Mutex<Ledger>>,
        clock: Clock,
    ) -> Self {
        let seen = Arc::<Mutex<Seen>>::default();
        let stop = Arc::<AtomicBool>::default();
        let (shared, stopped) = (Arc::clone(&seen), Arc::clone(&stop));
        let thread = std::thread::spawn(move || {
            while !stopped.load(Ordering::Relaxed) {
                for address in &processes {
                    look(&operator, *address, &shared, &ledger, clock);
                }
                std::thread::sleep(ROUND);
            }
        });
        Self {
            seen,
            stop,
            thread: Some(thread),
        }
    }

    /// A change was accepted.
    pub fn accepted(&self, revision: Revision, now: Time) {
        lock(&self.seen).pending.push((revision, now));
    }

    /// A process is stopped or starting, or is there again.
    pub fn set_absent(&self, process: SocketAddr, absent: bool) {
        let mut seen = lock(&self.seen);
        if absent {
            seen.absent.insert(process, ());
        } else {
            seen.absent.shift_remove(&process);
        }
    }

    /// Ends the watch.
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

fn look(
    operator: &Operator,
    process: SocketAddr,
    seen: &Mutex<Seen>,
    ledger: &Mutex<Ledger>,
    clock: Clock,
) {
    if lock(seen).absent.contains_key(&process) {
        return;
    }
    let asked = clock.now();
    let Ok(view) = operator.config(process) else {
        return;
    };
    let revision = view.change.map_or(Revision(0), |c| c.revision);
    let mut seen = lock(seen);
    if seen.absent.contains_key(&process) {
        return;
    }
    let highest = seen.highest.entry(process).or_default();
    let before = *highest;
    *highest = before.max(revision);
    let due = seen
        .pending
        .iter()
        .filter(|(_, at)| asked.since(*at) > IN_FORCE);
    let due = due.map(|(r, _)| *r).max();
    let mut ledger = lock(ledger);
    ledger.check(Invariant::P10, revision >= before, || {
        format!("{process} went back from revision {before} to {revision}")
    });
    if let Some(due) = due {
        ledger.check(Invariant::P10, revision >= due, || {
            format!("{process} has revision {revision} although {due} was accepted more than {IN_FORCE} ago")
        });
    }
}
