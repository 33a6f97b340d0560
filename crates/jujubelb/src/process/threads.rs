//! The named threads of a process, which stop together.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread::JoinHandle;

use super::StartError;
use crate::model::Span;

/// Flag that tells the threads of a process to continue or to stop.
#[derive(Debug, Clone)]
pub(crate) struct Running(Arc<AtomicBool>);

impl Running {
    /// Whether the thread should continue.
    pub(crate) fn is_active(&self) -> bool {
        self.0.load(SeqCst)
    }

    /// Waits until the thread is unparked, at most for `limit`. Returns whether it
    /// should continue.
    pub(crate) fn wait(&self, limit: Span) -> bool {
        if self.is_active() {
            std::thread::park_timeout(limit.to_std());
        }
        self.is_active()
    }
}

/// The threads of one process. Dropping them stops and joins them.
#[derive(Debug)]
pub(crate) struct Threads {
    running: Running,
    handles: Vec<JoinHandle<()>>,
}

impl Threads {
    /// Creates the set without any thread.
    pub(crate) fn new() -> Self {
        Self {
            running: Running(Arc::new(AtomicBool::new(true))),
            handles: Vec::new(),
        }
    }

    /// Starts a thread with this name.
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

    /// Tells all threads to stop, without waiting for them.
    pub(crate) fn stop(&self) {
        self.running.0.store(false, SeqCst);
        for handle in &self.handles {
            handle.thread().unpark();
        }
    }

    /// Stops all threads and waits for them.
    pub(crate) fn join(&mut self) {
        self.stop();
        for handle in self.handles.drain(..) {
            let name = handle.thread().name().unwrap_or("unnamed").to_owned();
            if handle.join().is_err() {
                log::error!(thread = name.as_str(); "a thread panicked");
            }
        }
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        self.join();
    }
}
