//! What clients, workers and the operator have seen, in one order.

use std::fmt;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use indexmap::IndexMap;

use super::customers::{Customer, Key};
use super::http::lock;

/// A job as a client sends it, with what its tasks do on a worker.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SentJob {
    pub(crate) id: ArcStr,
    /// Customer of the callers; `None` on a queue that needs no key.
    pub(crate) customer: Option<ArcStr>,
    /// Prefix of the queue.
    pub(crate) prefix: ArcStr,
    /// Service whose workers may run the job.
    pub(crate) service: ArcStr,
    pub(crate) payload: ArcStr,
    pub(crate) steps: Vec<SentStep>,
}

/// A step of a [`SentJob`].
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SentStep {
    pub(crate) count: u32,
    /// Millicores of each task.
    pub(crate) cpu: u64,
    /// Mebibytes of memory of each task.
    pub(crate) memory: u64,
    /// How long each task takes without a checkpoint.
    pub(crate) work: Duration,
    pub(crate) after: Vec<u16>,
    pub(crate) checkpoints: bool,
    /// Whether the tasks run until the job is cancelled.
    pub(crate) lasts: bool,
    /// Share of runs that end as failed.
    pub(crate) failing: f64,
    pub(crate) role: Role,
}

/// How the tasks of a step share a worker's processor with others. Tasks of the same image
/// behave alike.
#[derive(Debug, Clone, Default, PartialEq)]
pub(crate) enum Role {
    /// It has its declared processor time to itself.
    #[default]
    Plain,
    /// It serves users of its own; the tail of their response times has to stay below `target`.
    Serving { image: ArcStr, target: Duration },
    /// It uses processor time that the others leave; this is not counted against a worker's room.
    BestEffort { image: ArcStr },
}

impl Role {
    pub(crate) fn is_best_effort(&self) -> bool {
        matches!(self, Self::BestEffort { .. })
    }
}

/// A task's name: `ID.K.STEP.INDEX`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{job}.{occurrence}.{step}.{index}")]
pub(crate) struct TaskName {
    pub(crate) job: ArcStr,
    pub(crate) occurrence: u32,
    pub(crate) step: usize,
    pub(crate) index: u32,
}

impl TaskName {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let name = Self {
            job: parts.next()?.into(),
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(name)
    }
}

/// How a run ended, as the worker lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
#[display(rename_all = "lowercase")]
pub(crate) enum RunEnd {
    Done,
    Failed,
    Stopped,
    Lapsed,
}

/// One life of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, derive_more::Display)]
#[display("{name}#{life}")]
pub(crate) struct Life {
    pub(crate) name: ArcStr,
    pub(crate) life: u64,
}

/// The answer to a submission or a cancellation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// The status of the response.
    Status(u16),
    /// The connection could not be opened, so nothing was sent.
    NotSent,
    /// Nothing, or a broken connection.
    Nothing,
}

impl Answer {
    pub(crate) fn is_accepted(self) -> bool {
        matches!(self, Self::Status(200..=299))
    }

    /// Whether the request certainly had no effect, by the published protocol.
    pub(crate) fn is_refused(self) -> bool {
        matches!(self, Self::Status(401 | 404 | 429 | 503) | Self::NotSent)
    }
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum What {
    /// A client sent a job.
    SubmitSent {
        job: ArcStr,
        host: usize,
    },
    SubmitAnswered {
        job: ArcStr,
        answer: Answer,
    },
    CancelSent {
        job: ArcStr,
        host: usize,
    },
    CancelAnswered {
        job: ArcStr,
        answer: Answer,
    },
    /// A client asked for a job's state at `asked` and was shown `state`; `None` for 410.
    StateShown {
        job: ArcStr,
        asked: Duration,
        state: Option<ArcStr>,
    },
    /// A client asked for a job's state at `asked` and got no usable answer.
    StateUnknown {
        job: ArcStr,
        asked: Duration,
    },
    /// A worker began to run a task.
    Started {
        worker: Life,
        zone: ArcStr,
        service: ArcStr,
        task: TaskName,
        run: u64,
        payload: ArcStr,
        checkpoint: Option<ArcStr>,
        /// Whether the start was carried out later than it arrived.
        late: bool,
        /// Whether the worker has run out of room by it.
        over_room: bool,
    },
    /// A run ended; `number` is its place in the worker's list of ends.
    Ended {
        worker: Life,
        number: u64,
        task: TaskName,
        run: u64,
        end: RunEnd,
    },
    /// A worker has produced a checkpoint of a task.
    Saved {
        task: TaskName,
        checkpoint: ArcStr,
    },
    /// A worker was told that its ends up to `number` are taken note of.
    Acknowledged {
        worker: Life,
        number: u64,
    },
    /// The lease of a worker has run out.
    Lapsed {
        worker: Life,
    },
    /// A worker has begun to take tasks.
    Joined {
        worker: Life,
        service: ArcStr,
        /// Capacity in millicores.
        cpu: u64,
        /// Capacity in mebibytes.
        memory: u64,
    },
    /// A serving task has come over its target, or is no longer over it, because of best-effort
    /// tasks that work beside it: without them it would be below.
    Disturbed {
        worker: Life,
        task: TaskName,
        disturbed: bool,
    },
    /// A run has come to pace 0, or is no longer at pace 0.
    Paused {
        worker: Life,
        task: TaskName,
        run: u64,
        paused: bool,
    },
    /// A worker is gone with everything that ran on it.
    Died {
        worker: Life,
    },
    /// The store has acknowledged that the worker drains.
    Draining {
        worker: Life,
    },
    /// The store has acknowledged the evacuation of a failure domain.
    Evacuated {
        zone: ArcStr,
    },
    /// The evacuation is being taken back.
    Restored {
        zone: ArcStr,
    },
    /// The store has acknowledged a configuration with these prefixes of queues.
    Configured {
        prefixes: Vec<ArcStr>,
        customers: Vec<Customer>,
    },
    /// A host answered a call of `asked` on a queue that needs a key. The call had none if `key`
    /// is `None`.
    KeyAnswered {
        host: usize,
        key: Option<Key>,
        asked: Duration,
        status: u16,
    },
    /// The output of a host's process contains a key.
    KeyLogged {
        host: usize,
        key: Key,
    },
    /// A host answered, at `asked` or later, whether a prefix names a queue.
    QueueShown {
        host: usize,
        prefix: ArcStr,
        asked: Duration,
        exists: bool,
    },
    /// No client sends a job from now on.
    TrafficEnded,
    /// A disturbance began.
    FaultBegan {
        id: u64,
        text: String,
        /// The only host that is not in touch because of it, if there is one.
        host: Option<usize>,
    },
    FaultEnded {
        id: u64,
    },
    /// The emulator and the clients were delayed by the machine.
    Delayed {
        by: Duration,
    },
    /// A process ended that nobody had stopped, or logged a panic.
    ProcessFailed {
        host: usize,
        text: String,
    },
}

/// An event with the time since the start of the emulator.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Event {
    pub(crate) at: Duration,
    pub(crate) what: What,
}

impl fmt::Display for Event {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{:9.3} {:?}", self.at.as_secs_f64(), self.what)
    }
}

/// All events, and the jobs that clients have sent.
#[derive(Debug, Default)]
pub(crate) struct Record {
    /// In the order of their times.
    pub(crate) events: Vec<Event>,
    pub(crate) jobs: IndexMap<ArcStr, SentJob>,
}

/// Records events of all threads in one order.
#[derive(Debug)]
pub(crate) struct History {
    start: Instant,
    record: Mutex<Record>,
}

impl History {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
            record: Mutex::default(),
        }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(crate) fn add(&self, what: What) {
        let mut record = lock(&self.record);
        // Read under the lock, so that times never decrease in the record.
        let at = self.start.elapsed();
        record.events.push(Event { at, what });
    }

    /// Adds a job before it is sent for the first time.
    pub(crate) fn add_job(&self, job: SentJob) {
        lock(&self.record).jobs.insert(job.id.clone(), job);
    }

    pub(crate) fn job(&self, id: &str) -> Option<SentJob> {
        lock(&self.record).jobs.get(id).cloned()
    }

    /// Gives access to everything recorded so far.
    pub(crate) fn read<T>(&self, read: impl FnOnce(&Record) -> T) -> T {
        read(&lock(&self.record))
    }
}
