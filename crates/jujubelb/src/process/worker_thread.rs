//! Threads with one responsibility each, which end together.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::JoinHandle;

use super::StartError;
use crate::model::Span;

/// Whether the threads of a process shall go on.
#[derive(Debug, Clone)]
pub(crate) struct Running(Arc<AtomicBool>);

impl Running {
    /// Whether the thread shall go on.
    pub(crate) fn goes_on(&self) -> bool {
        self.0.load(SeqCst)
    }

    /// Waits until woken, at most for `limit`. Returns whether the thread shall go on.
    pub(crate) fn wait(&self, limit: Span) -> bool {
        if self.goes_on() {
            std::thread::park_timeout(limit.to_std());
        }
        self.goes_on()
    }
}

/// The threads of one process.
#[derive(Debug)]
pub(crate) struct Threads {
    running: Running,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// No threads yet.
    pub(crate) fn new() -> Self {
        Self {
            running: Running(Arc::new(AtomicBool::new(true))),
            handles: Vec::new(),
        }
    }

    /// Starts a thread.
    pub(crate) fn spawn(
        &mut self,
        name: &'static str,
        body: impl FnOnce(Running) + Send + 'static,
    ) -> Result<(), StartError> {
        let running = self.running.clone();
        let handle = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || body(running))
            .map_err(|e| StartError::Thread(name, e))?;
        self.handles.push(handle);
        Ok(())
    }

    /// Tells all threads to end, without waiting for them.
    pub(crate) fn end(&self) {
        self.running.0.store(false, SeqCst);
        for handle in &self.handles {
            handle.thread().unpark();
        }
    }

    /// Ends all threads and waits for them.
    pub(crate) fn join(&mut self) {
        self.end();
        for handle in self.handles.drain(..) {
            let name = handle.thread().name().unwrap_or("unnamed").to_owned();
            if handle.join().is_err() {
                log::error!(thread = name.as_str(); "a thread ended with a panic");
            }
        }
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.join();
    }
}
