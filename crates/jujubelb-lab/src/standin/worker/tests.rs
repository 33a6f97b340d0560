//! The stand-in worker must refuse what a real worker refuses; otherwise a test that
//! runs against it would not notice a missing fence, lease or start window.

use jujubelb::model::{ClassName, JobName, Priority, TaskKind};

use super::super::ledger::Invariant;
use super::*;

fn spec() -> TaskSpec {
    TaskSpec {
        kind: TaskKind::Batch,
        class: ClassName::from("sort"),
        priority: Priority::Batch,
        size: Resources::new(1_000, 1 << 30, 0),
        duration: Some(Span::from_secs(10)),
        domains: Vec::new(),
        reclaimable: false,
    }
}

fn task(index: u32) -> TaskId {
    TaskId {
        job: JobName::from("job"),
        index,
    }
}

struct Harness {
    worker: WorkerState,
    ledger: Arc<Mutex<Ledger>>,
    now: Time,
    seq: u64,
}

impl Harness {
    fn new() -> Self {
        let ledger = Arc::<Mutex<Ledger>>::default();
        let facts = Facts {
            name: WorkerName::from("w1"),
            domain: DomainName::from("d1"),
            capacity: Resources::new(2_000, 4 << 30, 0),
            broken: false,
            offset: Span::from_secs(100),
        };
        let behaviours = Arc::new(Behaviours::default());
        let worker = WorkerState::new(facts, Incarnation(1), behaviours, Arc::clone(&ledger));
        Self {
            worker,
            ledger,
            now: Time::from_millis(1_000),
            seq: 0,
        }
    }

    fn sync(&mut self, epoch: u64, commands: Vec<Command>) -> SyncResponse {
        self.seq += 1;
        let request = SyncRequest {
            shard: ShardName::from("s1"),
            epoch: Epoch(epoch),
            seq: self.seq,
            lease: Some(self.worker.clock(self.now) + Span::from_secs(5)),
            known_inventory: Some((Incarnation(1), 0)),
            commands,
        };
        self.worker.sync(self.now, &request)
    }

    fn start(&self, index: u32, attempt: u64, by: Span) -> Command {
        Command::Start {
            task: task(index),
            attempt: Attempt(attempt),
            spec: spec(),
            limit: spec().size,
            start_by: self.worker.clock(self.now) + by,
            checkpoint: None,
        }
    }

    fn report(&mut self, epoch: u64, commands: Vec<Command>) -> SyncReport {
        match self.sync(epoch, commands) {
            SyncResponse::Report(report) => report,
            SyncResponse::Fenced { epoch, .. } => panic!("fenced by epoch {epoch}"),
        }
    }
}

#[test]
fn lower_epoch_is_fenced() {
    let mut harness = Harness::new();
    harness.report(2, Vec::new());
    assert!(matches!(
        harness.sync(1, Vec::new()),
        SyncResponse::Fenced {
            epoch: Epoch(2),
            ..
        }
    ));
}

#[test]
fn overtaken_request_is_fenced() {
    let mut harness = Harness::new();
    harness.seq = 5;
    harness.report(1, Vec::new());
    harness.seq = 4;
    assert!(matches!(
        harness.sync(1, Vec::new()),
        SyncResponse::Fenced { .. }
    ));
}

#[test]
fn commands_for_an_earlier_start_have_no_effect() {
    let mut harness = Harness::new();
    let start = harness.start(0, 1, Span::from_secs(1));
    harness.worker.restart(harness.now, Incarnation(2));
    harness.report(1, vec![start]);
    assert_eq!(harness.worker.running(), 0);
}

#[test]
fn late_start_is_refused() {
    let mut harness = Harness::new();
    let start = harness.start(0, 1, Span::ZERO);
    harness.now = harness.now + Span::from_millis(1);
    let report = harness.report(1, vec![start]);
    assert_eq!(report.refused[0].reason, RefusalReason::TooLate);
    assert_eq!(harness.worker.running(), 0);
}

#[test]
fn repeated_start_runs_once_and_ended_attempt_is_refused() {
    let mut harness = Harness::new();
    let start = harness.start(0, 1, Span::from_secs(1));
    harness.report(1, vec![start.clone(), start.clone()]);
    assert_eq!(harness.ledger.lock().unwrap().counts().started, 1);
    let stop = Command::Stop {
        task: task(0),
        attempt: Attempt(1),
    };
    let forget = Command::Forget {
        task: task(0),
        attempt: Attempt(1),
    };
    let report = harness.report(1, vec![stop, forget, start]);
    assert_eq!(report.refused[0].reason, RefusalReason::OldAttempt);
}

#[test]
fn start_beyond_capacity_is_refused() {
    let mut harness = Harness::new();
    let starts = (0..3)
        .map(|i| harness.start(i, 1, Span::from_secs(1)))
        .collect();
    let report = harness.report(1, starts);
    assert_eq!(
        report.refused[0].reason,
        RefusalReason::InsufficientCapacity
    );
    assert_eq!(harness.worker.running(), 2);
    let tally = harness.ledger.lock().unwrap().tally(Invariant::P1);
    assert!(tally.violations.is_empty());
}

#[test]
fn tasks_end_with_the_lease() {
    let mut harness = Harness::new();
    let start = harness.start(0, 1, Span::from_secs(1));
    harness.report(1, vec![start]);
    harness.worker.advance(harness.now + Span::from_secs(6));
    assert_eq!(harness.worker.running(), 0);
    assert_eq!(harness.ledger.lock().unwrap().counts().lost, 1);
}

#[test]
fn evicted_progress_is_kept_in_the_checkpoint() {
    let mut harness = Harness::new();
    let start = harness.start(0, 1, Span::from_secs(1));
    harness.report(1, vec![start]);
    harness.now = harness.now + Span::from_secs(3);
    let evict = Command::Evict {
        task: task(0),
        attempt: Attempt(1),
    };
    let report = harness.report(1, vec![evict]);
    let row = &report.inventory.unwrap()[0];
    assert_eq!(row.phase, Phase::Evicted);
    let checkpointed = checkpoint_progress(row.checkpoint.as_ref().unwrap());
    assert_eq!(checkpointed, Span::from_secs(3));
}

#[test]
fn ledger_records_violations_of_each_checked_invariant() {
    let mut ledger = Ledger::default();
    let (now, one) = (Time::from_millis(1), task(0));
    let (a, b, d) = (
        WorkerName::from("a"),
        WorkerName::from("b"),
        DomainName::from("d"),
    );
    ledger.start(now, &one, 1, &a, &d, Span::ZERO);
    ledger.start(now, &one, 2, &b, &d, Span::ZERO);
    assert_eq!(ledger.tally(Invariant::P2).violations.len(), 1);
    ledger.end(&one, 2, AttemptOutcome::Evicted, Span::from_secs(2));
    ledger.start(now, &one, 3, &b, &d, Span::from_secs(1));
    assert_eq!(ledger.tally(Invariant::P3).violations.len(), 1);
    ledger.end(&one, 3, AttemptOutcome::Succeeded, Span::ZERO);
    ledger.domain_out(d.clone(), now);
    ledger.start(now + Span::from_secs(4), &one, 4, &b, &d, Span::ZERO);
    assert_eq!(ledger.tally(Invariant::P3).violations.len(), 2);
    assert_eq!(ledger.tally(Invariant::P4).violations.len(), 1);
    let (limit, host) = (Resources::new(3, 0, 0), Resources::new(2, 0, 0));
    ledger.load(&b, limit, Resources::ZERO, host);
    assert_eq!(ledger.tally(Invariant::P1).violations.len(), 1);
}

/// Runs a task to completion, restarts its host, starts the task on another worker and
/// returns the number of violations of P3.
fn violations_after_rerun(reported: bool) -> usize {
    let mut harness = Harness::new();
    let start = harness.start(0, 1, Span::from_secs(1));
    harness.report(1, vec![start]);
    for _ in 0..3 {
        harness.now = harness.now + Span::from_secs(3);
        harness.report(1, Vec::new());
    }
    harness.now = harness.now + Span::from_millis(1_500);
    harness.worker.advance(harness.now);
    assert_eq!(harness.worker.running(), 0);
    if reported {
        harness.report(1, Vec::new());
    }
    harness.worker.restart(harness.now, Incarnation(2));
    let mut ledger = lock(&harness.ledger);
    let (other, domain) = (WorkerName::from("w2"), DomainName::from("d1"));
    ledger.start(harness.now, &task(0), 2, &other, &domain, Span::ZERO);
    ledger.tally(Invariant::P3).violations.len()
}

/// Guards against false violations in the demo: if a host fails before it reports a
/// result, the owner has to run the task again.
#[test]
fn rerun_after_an_unreported_result_is_no_violation() {
    assert_eq!(violations_after_rerun(false), 0);
}

/// Guards against a ledger that misses an owner which loses a reported completion.
#[test]
fn rerun_after_a_reported_result_is_a_violation() {
    assert_eq!(violations_after_rerun(true), 1);
}
