//! Bounded queues between threads, with their lengths for dumps and metrics.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread::Thread;

use rtrb::{Consumer, Producer, PushError, RingBuffer};
use serde::Serialize;

/// Length of a queue as last seen by its writer or reader.
#[derive(Debug)]
struct Gauge {
    name: &'static str,
    capacity: usize,
    length: AtomicUsize,
    dropped: AtomicU64,
    /// The thread that reads, woken by each entry.
    reader: OnceLock<Thread>,
}

/// State of a queue for dumps.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct QueueView {
    /// Name.
    pub(crate) name: &'static str,
    /// Entries.
    pub(crate) length: usize,
    /// Most entries.
    pub(crate) capacity: usize,
    /// Entries refused because it was full.
    pub(crate) dropped: u64,
}

/// All queues of one process instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queues {
    gauges: Arc<Mutex<Vec<Arc<Gauge>>>>,
}

impl Queues {
    /// The present lengths.
    pub(crate) fn views(&self) -> Vec<QueueView> {
        let gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        let view = |gauge: &Arc<Gauge>| QueueView {
            name: gauge.name,
            length: gauge.length.load(Relaxed),
            capacity: gauge.capacity,
            dropped: gauge.dropped.load(Relaxed),
        };
        gauges.iter().map(view).collect()
    }

    fn add(&self, name: &'static str, capacity: usize) -> Arc<Gauge> {
        let gauge = Arc::new(Gauge {
            name,
            capacity,
            length: AtomicUsize::new(0),
            dropped: AtomicU64::new(0),
            reader: OnceLock::new(),
        });
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        // Gauges of queues whose both ends are gone are held only here.
        gauges.retain(|gauge| Arc::strong_count(gauge) > 1);
        gauges.push(gauge.clone());
        gauge
    }
}

/// The writing end of a queue.
#[derive(Debug)]
pub(crate) struct Outlet<T> {
    ring: Producer<T>,
    gauge: Arc<Gauge>,
}

/// The reading end of a queue.
#[derive(Debug)]
pub(crate) struct Inbox<T> {
    ring: Consumer<T>,
    gauge: Arc<Gauge>,
}

/// A bounded queue from one thread to another.
pub(crate) fn queue<T>(
    queues: &Queues,
    name: &'static str,
    capacity: usize,
) -> (Outlet<T>, Inbox<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let gauge = queues.add(name, capacity);
    let outlet = Outlet {
        ring: producer,
        gauge: gauge.clone(),
    };
    let inbox = Inbox {
        ring: consumer,
        gauge,
    };
    (outlet, inbox)
}

impl<T> Outlet<T> {
    /// Adds an entry and wakes the reader; a full queue gives it back and counts it.
    pub(crate) fn push(&mut self, entry: T) -> Result<(), T> {
        let result = self.ring.push(entry);
        let length = self.gauge.capacity - self.ring.slots();
        self.gauge.length.store(length, Relaxed);
        if let Some(reader) = self.gauge.reader.get() {
            reader.unpark();
        }
        result.map_err(|PushError::Full(entry)| {
            self.gauge.dropped.fetch_add(1, Relaxed);
            entry
        })
    }

    /// Whether there is no room.
    pub(crate) fn is_full(&self) -> bool {
        self.ring.is_full()
    }
}

impl<T> Inbox<T> {
    /// Has this thread woken by each entry. Called once by the reading thread.
    pub(crate) fn register_reader(&self) {
        let _ = self.gauge.reader.set(std::thread::current());
    }

    /// Whether the writing end is gone.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.ring.is_abandoned()
    }

    /// Takes the oldest entry.
    pub(crate) fn pop(&mut self) -> Option<T> {
        let entry = self.ring.pop().ok();
        self.gauge.length.store(self.ring.slots(), Relaxed);
        entry
    }
}
