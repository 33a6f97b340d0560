//! Exchanges between an owner and a worker, which are JSON over HTTP.

use jujubelb::model::{
    Attempt, ClassName, Epoch, Incarnation, JobName, Millicores, Priority, Resources, ShardName,
    Span, TaskId, TaskKind, TaskSpec, WorkerName, WorkerTime,
};
use jujubelb::worker::{
    Command, Phase, SyncReport, SyncRequest, SyncResponse, TaskReport, TaskUsage,
};

use super::super::report::Target;
use super::super::{Cell, Column, Table};
use super::median;

/// Allowance in bytes for the headers of one exchange: request and status line,
/// fields of both messages, and TCP and IP for four packets.
pub(super) const HEADER_BYTES: usize = 700;

/// Limit of control traffic per worker. An owner exchanges once a second.
const MAX_BYTES_PER_SECOND: usize = 9_000;

/// Tasks of a worker: a quarter, a half and all of 46,100 tasks on 2,600 workers.
const TASK_COUNTS: [u32; 3] = [4, 9, 18];

const TASK_SIZE: Resources = Resources::new(2_500, 9 << 30, 0);

/// What an exchange carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// No changes since the last exchange.
    Idle,
    /// Measured use of all tasks.
    Usage,
    /// The use and the complete inventory.
    Inventory,
    /// Start commands for all tasks, and the inventory with the use.
    Commands,
}

const KINDS: [(Kind, &str); 4] = [
    (Kind::Idle, "idle"),
    (Kind::Usage, "use"),
    (Kind::Inventory, "use, inventory"),
    (Kind::Commands, "use, inventory, starts"),
];

pub(super) struct Row {
    kind: Kind,
    name: &'static str,
    tasks: u32,
    request: usize,
    answer: usize,
    /// Time in microseconds in which the owner encodes the request and decodes the reply.
    encode: f64,
    decode: f64,
}

impl Row {
    fn total_bytes(&self) -> usize {
        self.request + self.answer + HEADER_BYTES
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobName::from("reconciliation-2026-1204"),
        index,
    }
}

fn start(index: u32) -> Command {
    Command::Start {
        task: task(index),
        attempt: Attempt(1),
        spec: TaskSpec {
            kind: TaskKind::Batch,
            class: ClassName::from("reconciliation"),
            priority: Priority::Batch,
            size: TASK_SIZE,
            duration: Some(Span::from_secs(600)),
            domains: Vec::new(),
            reclaimable: true,
        },
        limit: TASK_SIZE,
        start_by: WorkerTime::from_micros(86_400_000_000),
        checkpoint: None,
    }
}

fn request(kind: Kind, tasks: u32) -> SyncRequest {
    let commands = if kind == Kind::Commands { tasks } else { 0 };
    SyncRequest {
        shard: ShardName::from("tunis-a-1"),
        epoch: Epoch(120),
        seq: 86_400,
        lease: Some(WorkerTime::from_micros(86_415_000_000)),
        known_inventory: Some((Incarnation(1_764_800_000_000_000), 2_000)),
        commands: (0..commands).map(start).collect(),
    }
}

fn answer(kind: Kind, tasks: u32) -> SyncResponse {
    let report = |index| TaskReport {
        task: task(index),
        attempt: Attempt(1),
        phase: Phase::Running,
        limit: TASK_SIZE,
        checkpoint: None,
    };
    let usage = |index| TaskUsage {
        task: task(index),
        attempt: Attempt(1),
        used: TASK_SIZE,
        wanted: Millicores(2_500),
    };
    let measured = if kind == Kind::Idle { 0 } else { tasks };
    let changed = matches!(kind, Kind::Inventory | Kind::Commands);
    SyncResponse::Report(SyncReport {
        worker: WorkerName::from("tunis-a-1-1"),
        incarnation: Incarnation(1_764_800_000_000_000),
        at: WorkerTime::from_micros(86_400_000_000),
        lease: Some(WorkerTime::from_micros(86_415_000_000)),
        version: 2_000,
        inventory: changed.then(|| (0..tasks).map(report).collect()),
        usage: (0..measured).map(usage).collect(),
        lag: Span::from_secs(2),
        refused: Vec::new(),
        leaving: false,
    })
}

fn row(kind: Kind, name: &'static str, tasks: u32, repeats: usize) -> Row {
    let request = request(kind, tasks);
    // Messages are plain data with text keys, which JSON holds.
    let answer = serde_json::to_vec(&answer(kind, tasks)).expect("plain data");
    let sent = serde_json::to_vec(&request).expect("plain data");
    Row {
        kind,
        name,
        tasks,
        request: sent.len(),
        answer: answer.len(),
        encode: median(repeats, || serde_json::to_vec(&request)),
        decode: median(repeats, || serde_json::from_slice::<SyncResponse>(&answer)),
    }
}

pub(super) fn rows(repeats: usize) -> Vec<Row> {
    let of = |(kind, name)| TASK_COUNTS.map(|tasks| row(kind, name, tasks, repeats));
    KINDS.into_iter().flat_map(of).collect()
}

const COLUMNS: [Column<Row>; 7] = [
    ("exchange", |r| r.name.into()),
    ("tasks", |r| Cell::Count(u64::from(r.tasks))),
    ("request bytes", |r| r.request.into()),
    ("answer bytes", |r| r.answer.into()),
    ("with headers", |r| r.total_bytes().into()),
    ("request encoded µs", |r| r.encode.into()),
    ("answer decoded µs", |r| r.decode.into()),
];

pub(super) fn table(rows: &[Row]) -> Table {
    Table::of("Exchange with one worker", &COLUMNS, rows)
}

/// Whether each kind of exchange stays within the limit with all tasks, once a second.
pub(super) fn targets(rows: &[Row]) -> Vec<Target> {
    let full = rows
        .iter()
        .filter(|r| r.tasks == TASK_COUNTS[2] && r.kind != Kind::Idle);
    let target = |row: &Row| Target {
        target: format!(
            "at most 9 KB/s for a worker with {} tasks, one exchange a second ({})",
            row.tasks, row.name
        ),
        measured: format!("{:.2} KB/s", row.total_bytes() as f64 / 1_000.0),
        met: row.total_bytes() <= MAX_BYTES_PER_SECOND,
    };
    full.map(target).collect()
}
