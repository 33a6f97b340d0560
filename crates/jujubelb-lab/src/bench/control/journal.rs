//! Segments of a shard's log as the real journal writes them, and its store calls.

use std::cell::Cell as Shared;
use std::sync::Arc;

use jujubelb::journal::{
    Change, Journal, SEGMENT_RETENTION, SEGMENTS_PER_SNAPSHOT, Segment, WriterId,
};
use jujubelb::model::{
    Action, Attempt, Cause, Fact, Incarnation, JobName, NodeName, Record, RecordId, Resources,
    Revision, ShardName, Span, Subject, TaskId, Time, Unit, WallTime, WorkerName,
};
use jujubelb::store::Store;

use super::super::{Column, Table};
use super::median;
use crate::standin::store::MemoryStore;

const STARTS_PER_SEGMENT: [u32; 3] = [1, 10, 40];

const SHARD: &str = "tunis-a-1";

/// Batch size of deletions, as in the scheduler.
const DELETIONS_PER_CALL: usize = 8;

struct Row {
    starts: u32,
    bytes: usize,
    micros: f64,
}

const COLUMNS: [Column<Row>; 3] = [
    ("starts", |r| (r.starts as usize).into()),
    ("bytes", |r| r.bytes.into()),
    ("encoded and appended µs", |r| r.micros.into()),
];

struct Calls {
    step: &'static str,
    reads: u64,
    writes: u64,
}

const CALLS: [Column<Calls>; 3] = [
    ("step", |r| r.step.into()),
    ("reads", |r| super::super::Cell::Count(r.reads)),
    ("writes and deletions", |r| {
        super::super::Cell::Count(r.writes)
    }),
];

fn writer() -> WriterId {
    WriterId {
        node: NodeName::from("entry-1/scheduler"),
        incarnation: Incarnation(1_764_800_000_000_000),
    }
}

fn record(task: &TaskId, seq: u64) -> Record {
    Record {
        id: RecordId {
            node: writer().node,
            seq,
        },
        at: WallTime::from_micros(1_764_800_000_000_000),
        shard: None,
        subject: Subject::Task(task.clone()),
        action: Action::Start,
        cause: Cause::Scheduled,
        place: Some("tunis-a-1-1".into()),
        facts: vec![
            Fact::new("free", 40_000, Unit::Millicores),
            Fact::new("limit", 2_500, Unit::Millicores),
        ],
        revision: Revision(2_200),
        parent: None,
        count: 1,
    }
}

/// A segment with an assignment and its record for each start.
fn segment(epoch: jujubelb::model::Epoch, seq: u64, starts: u32) -> Segment {
    let task = |index| TaskId {
        job: JobName::from("reconciliation-2026-1204"),
        index,
    };
    let change = |index| Change::Assigned {
        task: task(index),
        attempt: Attempt(1),
        worker: WorkerName::from("tunis-a-1-1"),
        limit: Resources::new(2_500, 9 << 30, 0),
    };
    Segment {
        epoch,
        writer: writer(),
        seq,
        changes: (0..starts).map(change).collect(),
        records: (0..starts)
            .map(|i| record(&task(i), u64::from(i)))
            .collect(),
    }
}

/// Size of a segment, and the time to append one to a store in memory.
pub(super) fn segments(repeats: usize) -> Table {
    let rows = STARTS_PER_SEGMENT.map(|starts| {
        let store = Arc::new(MemoryStore::default());
        let recovered = Journal::open(store.clone(), || Time::ZERO, SHARD.into(), writer());
        // The store in memory fails only on request.
        let (mut journal, _) = recovered.expect("the log is empty");
        let index = journal.next_index();
        let mut seq = 1;
        let micros = median(repeats, || {
            seq += 1;
            let segment = segment(journal.epoch(), seq, starts);
            journal.append(&segment)
        });
        let key = format!("shard/{SHARD}/seg/{index:020}");
        let entry = store.get(&key).ok().flatten();
        Row {
            starts,
            bytes: entry.map_or(0, |e| e.value.len()),
            micros,
        }
    });
    Table::of("Segments of a shard's log", &COLUMNS, &rows)
}

/// Store calls of one log from a snapshot to the next, without lost replies.
pub(super) fn cycle() -> Table {
    let store = Arc::new(MemoryStore::default());
    let now = Shared::new(Time::ZERO);
    let shard = ShardName::from(SHARD);
    let recovered = Journal::open(store.clone(), || now.get(), shard, writer());
    // The store in memory fails only on request.
    let (mut journal, recovered) = recovered.expect("the log is empty");
    let mut rows = Vec::new();
    let mut before = store.calls();
    let mut record_calls = |step| {
        let calls = store.calls();
        rows.push(Calls {
            step,
            reads: calls.reads - before.reads,
            writes: calls.writes - before.writes,
        });
        before = calls;
    };
    let mut state = recovered.state;
    for seq in 0..SEGMENTS_PER_SNAPSHOT {
        let segment = segment(journal.epoch(), seq + 2, 0);
        journal.append(&segment).expect("the store is up");
    }
    record_calls("256 appends");
    state.next_segment = journal.next_index();
    journal.snapshot(&state, &[]).expect("the store is up");
    record_calls("snapshot");
    now.set(Time::ZERO + SEGMENT_RETENTION + Span::from_secs(1));
    while journal
        .delete_covered(DELETIONS_PER_CALL)
        .expect("the store is up")
        > 0
    {}
    record_calls("deletion of what it covers");
    Table::of(
        "Store calls of one log between two snapshots",
        &CALLS,
        &rows,
    )
}
