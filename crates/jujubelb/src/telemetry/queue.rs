//! Bounded queues between threads, with their lengths for dumps and metrics.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread::Thread;

use rtrb::{Consumer, Producer, PushError, RingBuffer};
use serde::Serialize;

/// Counters of one queue, updated by its sender and its receiver.
#[derive(Debug)]
struct QueueGauge {
    name: &'static str,
    capacity: usize,
    /// Entries, as last seen by the sender or the receiver.
    length: AtomicUsize,
    dropped: AtomicU64,
    /// The receiving thread, which each entry wakes.
    reader: OnceLock<Thread>,
}

/// State of a queue for dumps and metrics.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct QueueStatus {
    /// Name in dumps and in the label `queue` of metrics.
    pub(crate) name: &'static str,
    /// Entries, as last seen by the sender or the receiver.
    pub(crate) length: usize,
    /// Highest number of entries.
    pub(crate) capacity: usize,
    /// Entries that were refused because the queue was full.
    pub(crate) dropped: u64,
}

/// Registry of the queues of one process instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queues {
    gauges: Arc<Mutex<Vec<Arc<QueueGauge>>>>,
}

impl Queues {
    /// The current state of all queues.
    pub(crate) fn statuses(&self) -> Vec<QueueStatus> {
        let gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        let status = |gauge: &Arc<QueueGauge>| QueueStatus {
            name: gauge.name,
            length: gauge.length.load(Relaxed),
            capacity: gauge.capacity,
            dropped: gauge.dropped.load(Relaxed),
        };
        gauges.iter().map(status).collect()
    }

    fn add(&self, name: &'static str, capacity: usize) -> Arc<QueueGauge> {
        let gauge = Arc::new(QueueGauge {
            name,
            capacity,
            length: AtomicUsize::new(0),
            dropped: AtomicU64::new(0),
            reader: OnceLock::new(),
        });
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        // A gauge that only the registry holds belongs to a queue whose ends are dropped.
        gauges.retain(|gauge| Arc::strong_count(gauge) > 1);
        gauges.push(gauge.clone());
        gauge
    }
}

/// The sending end of a queue.
#[derive(Debug)]
pub(crate) struct QueueSender<T> {
    ring: Producer<T>,
    gauge: Arc<QueueGauge>,
}

/// The receiving end of a queue.
#[derive(Debug)]
pub(crate) struct QueueReceiver<T> {
    ring: Consumer<T>,
    gauge: Arc<QueueGauge>,
}

/// Creates a bounded queue from one thread to another and registers it in `queues`.
pub(crate) fn queue<T>(
    queues: &Queues,
    name: &'static str,
    capacity: usize,
) -> (QueueSender<T>, QueueReceiver<T>) {
    let (producer, consumer) = RingBuffer::new(capacity);
    let gauge = queues.add(name, capacity);
    let sender = QueueSender {
        ring: producer,
        gauge: gauge.clone(),
    };
    let receiver = QueueReceiver {
        ring: consumer,
        gauge,
    };
    (sender, receiver)
}

impl<T> QueueSender<T> {
    /// Adds an entry and wakes the receiving thread. A full queue returns the entry and
    /// counts it as dropped.
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

    /// Whether the next entry would be refused.
    pub(crate) fn is_full(&self) -> bool {
        self.ring.is_full()
    }
}

impl<T> QueueReceiver<T> {
    /// Makes each entry wake the calling thread. Called once, by the receiving thread.
    pub(crate) fn register_reader(&self) {
        let _ = self.gauge.reader.set(std::thread::current());
    }

    /// Whether the sending end is dropped.
    pub(crate) fn is_abandoned(&self) -> bool {
        self.ring.is_abandoned()
    }

    /// Takes the oldest entry; `None` if the queue is empty.
    pub(crate) fn pop(&mut self) -> Option<T> {
        let entry = self.ring.pop().ok();
        self.gauge.length.store(self.ring.slots(), Relaxed);
        entry
    }
}
