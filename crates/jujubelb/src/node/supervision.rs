//! Restarts loops of the process that have panicked. Without it an unexpected error in one
//! of them would go unnoticed: the process would serve on with an old configuration, or
//! never poll a worker again.

use std::future::Future;

use indexmap::{IndexMap, IndexSet};
use tokio::task::{Id, JoinSet};

use super::state::sleep;
use crate::model::{Span, WorkerName};

/// Pause before a loop that has panicked starts again.
const RESTART_PAUSE: Span = Span::from_millis(500);

/// Runs a loop, again and again if it panics, until it returns.
pub(crate) async fn supervise<F: Future<Output = ()> + Send + 'static>(
    name: &'static str,
    start: impl Fn() -> F,
) {
    while let Err(error) = tokio::spawn(start()).await {
        if !error.is_panic() {
            return;
        }
        log::error!(task = name, error:% = error; "task has panicked; starting it again");
        sleep(RESTART_PAUSE).await;
    }
}

/// The polling tasks of a term, one for each worker.
#[derive(Debug, Default)]
pub(crate) struct PollTasks {
    tasks: JoinSet<()>,
    /// Worker of each task that has not been joined.
    workers: IndexMap<Id, WorkerName>,
    /// Workers that have to be polled.
    polled: IndexSet<WorkerName>,
}

impl PollTasks {
    /// Replaces the set of workers to poll, and starts the tasks of new ones. The task of a
    /// worker that is no longer polled ends by itself.
    pub(crate) fn update<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        workers: IndexSet<WorkerName>,
        start: impl Fn(WorkerName) -> F,
    ) {
        for worker in workers.difference(&self.polled) {
            let id = self.tasks.spawn(start(worker.clone())).id();
            self.workers.insert(id, worker.clone());
        }
        self.polled = workers;
    }

    /// Removes tasks that have ended, and starts those again that have panicked.
    pub(crate) fn restart_failed<F: Future<Output = ()> + Send + 'static>(
        &mut self,
        start: impl Fn(WorkerName) -> F,
    ) {
        while let Some(ended) = self.tasks.try_join_next_with_id() {
            let (id, error) = match ended {
                Ok((id, ())) => (id, None),
                Err(error) => (error.id(), Some(error)),
            };
            let Some(worker) = self.workers.swap_remove(&id) else {
                continue;
            };
            if let Some(error) = error.filter(|_| self.polled.contains(&worker)) {
                log::error!(worker:% = worker, error:% = error; "polling of a worker has panicked; starting it again");
                let id = self.tasks.spawn(start(worker.clone())).id();
                self.workers.insert(id, worker);
            }
        }
    }
}
