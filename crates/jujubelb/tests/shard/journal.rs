//! Failures of the log: lost responses, other writers, deleted segments and damage.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use jujubelb::journal::{
    Change, Journal, JournalError, RecoveredLog, SEGMENT_RETENTION, SNAPSHOT_CHECK_AFTER, Segment,
    WriterId,
};
use jujubelb::model::{
    Action, Cause, Incarnation, Record, RecordId, Revision, Span, Subject, Time, WallTime,
};
use jujubelb::shard::State;
use jujubelb::store::{Store, StoreError};

use super::support::store::{FakeStore, WriteFault};
use super::support::world::job;

type Clock = Box<dyn Fn() -> Time>;

/// A writer with its own view of the state, and a clock shared by all.
struct Log {
    journal: Journal<Arc<FakeStore>, Clock>,
    state: State,
    writer: WriterId,
    seq: u64,
}

#[derive(Default)]
struct Harness {
    store: Arc<FakeStore>,
    now: Arc<AtomicU64>,
}

impl Harness {
    fn advance(&self, span: Span) {
        self.now.fetch_add(span.as_micros(), Ordering::Relaxed);
    }

    fn open(&self, node: &str) -> Result<Log, JournalError> {
        let now = self.now.clone();
        let clock: Clock = Box::new(move || Time::from_micros(now.load(Ordering::Relaxed)));
        let writer = WriterId {
            node: node.into(),
            incarnation: Incarnation(1),
        };
        let (journal, RecoveredLog { state, .. }) =
            Journal::open(self.store.clone(), clock, "a".into(), writer.clone())?;
        Ok(Log {
            journal,
            state,
            writer,
            seq: 0,
        })
    }
}

impl Log {
    fn segment(&mut self, name: &str) -> Segment {
        self.seq += 1;
        Segment {
            epoch: self.journal.epoch(),
            writer: self.writer.clone(),
            seq: self.seq,
            changes: vec![Change::Accepted {
                job: job(name, 1, 1_000),
            }],
            records: Vec::new(),
        }
    }

    fn accept(&mut self, name: &str) -> Result<(), JournalError> {
        let segment = self.segment(name);
        let mut result = self.journal.append(&segment);
        for _ in 0..3 {
            if matches!(result, Err(JournalError::Unresolved(_))) {
                result = self.journal.resolve();
            }
        }
        if result.is_ok() {
            self.state.apply(&segment).unwrap();
        }
        result
    }

    fn snapshot(&mut self) {
        self.journal.snapshot(&self.state, b"estimates").unwrap();
    }
}

fn names(state: &State) -> Vec<&str> {
    state.jobs.keys().map(|name| name.as_str()).collect()
}

/// Guards against a replay that leads to another state than the appends did.
#[test]
fn a_new_owner_replays_the_same_state() {
    let harness = Harness::default();
    let mut first = harness.open("n1").unwrap();
    for n in 0..40 {
        first.accept(&format!("j{n}")).unwrap();
        if n == 20 {
            first.snapshot();
        }
    }
    let second = harness.open("n2").unwrap();
    assert_eq!(second.state.jobs, first.state.jobs);
    assert_eq!(second.state.tasks, first.state.tasks);
    assert_eq!(second.state.epoch, first.state.epoch.next());
}

/// Guards against an append that is considered failed, or is made twice, after its response
/// was lost.
#[test]
fn a_lost_response_is_resolved_by_reading_back() {
    for fault in [
        WriteFault::LoseReply,
        WriteFault::LoseRequest,
        WriteFault::Delay,
    ] {
        let harness = Harness::default();
        let mut log = harness.open("n1").unwrap();
        harness.store.fail_writes([fault, fault]);
        log.accept("j0").unwrap();
        harness.store.deliver_delayed();
        log.accept("j1").unwrap();
        let second = harness.open("n2").unwrap();
        assert_eq!(names(&second.state), ["j0", "j1"], "{fault:?}");
    }
}

/// Guards against concluding from an absent key that an unanswered write won't take effect.
#[test]
fn an_unanswered_write_stays_unresolved_until_it_is_found_in_the_log() {
    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    let segment = log.segment("j0");
    harness.store.fail_writes([WriteFault::Delay]);
    let result = log.journal.append(&segment);
    assert!(matches!(result, Err(JournalError::Unresolved(_))));
    harness.store.set_down(true);
    assert!(matches!(
        log.journal.resolve(),
        Err(JournalError::Unresolved(_))
    ));
    harness.store.set_down(false);
    harness.store.deliver_delayed();
    assert_eq!(log.journal.resolve(), Ok(()));
}

/// Guards against two owners that append at the same time.
#[test]
fn a_replaced_owner_is_fenced() {
    let harness = Harness::default();
    let mut first = harness.open("n1").unwrap();
    first.accept("j0").unwrap();
    let mut second = harness.open("n2").unwrap();
    let fenced = first.accept("j1");
    assert_eq!(fenced, Err(JournalError::Fenced(second.journal.epoch())));
    second.accept("j2").unwrap();
    assert_eq!(names(&second.state), ["j0", "j2"]);
}

/// Guards against a refused append that is reported as unresolved or blocks the log.
#[test]
fn a_refused_append_has_no_effect_and_can_be_replaced() {
    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    harness.store.fail_writes([WriteFault::Refuse]);
    assert!(matches!(
        log.accept("j0"),
        Err(JournalError::Store(StoreError::Refused(_)))
    ));
    log.accept("j1").unwrap();
    assert_eq!(names(&harness.open("n2").unwrap().state), ["j1"]);
}

/// Opens a log with two owners. The second one writes more segments, covers all of them by a
/// snapshot and deletes them, so that the first owner's next index is a deleted one.
fn write_at_a_deleted_index(harness: &Harness) -> (Log, Log) {
    let mut first = harness.open("n1").unwrap();
    first.accept("j0").unwrap();
    let mut second = harness.open("n2").unwrap();
    for n in 1..10 {
        second.accept(&format!("j{n}")).unwrap();
    }
    second.snapshot();
    harness.advance(SEGMENT_RETENTION);
    while second.journal.delete_covered(4).unwrap() > 0 {}
    let segments = harness.store.list("shard/a/seg/", "", 100).unwrap();
    assert!(segments.is_empty(), "all segments are covered");
    (first, second)
}

/// Guards against a paused owner that writes at a deleted index and considers this append
/// successful.
#[test]
fn a_stale_writer_at_a_deleted_index_steps_down() {
    let harness = Harness::default();
    let (mut first, mut second) = write_at_a_deleted_index(&harness);
    let fenced = first.accept("stale");
    assert_eq!(fenced, Err(JournalError::Fenced(second.journal.epoch())));
    second.accept("j10").unwrap();
    let third = harness.open("n3").unwrap();
    assert_eq!(third.state.jobs.len(), 11);
    assert!(third.state.jobs.get("stale").is_none());
}

/// Guards against deleting segments that a reader may still need.
#[test]
fn segments_are_retained_after_the_snapshot() {
    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    log.accept("j0").unwrap();
    log.snapshot();
    harness.advance(Span::from_micros(SEGMENT_RETENTION.as_micros() - 1));
    assert_eq!(log.journal.delete_covered(10), Ok(0));
    harness.advance(Span::from_micros(1));
    assert_eq!(log.journal.delete_covered(10), Ok(2));
    assert_eq!(names(&harness.open("n2").unwrap().state), ["j0"]);
}

/// Guards against an owner that can't append after a pause although it was not replaced.
#[test]
fn an_owner_that_was_not_replaced_continues_after_a_pause() {
    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    log.accept("j0").unwrap();
    log.snapshot();
    harness.advance(SNAPSHOT_CHECK_AFTER + SNAPSHOT_CHECK_AFTER);
    log.accept("j1").unwrap();
    assert_eq!(names(&harness.open("n2").unwrap().state), ["j0", "j1"]);
}

/// Guards against a slow append that takes effect at an index that was deleted meanwhile.
#[test]
fn a_slow_append_at_a_deleted_index_steps_down() {
    let harness = Harness::default();
    let mut first = harness.open("n1").unwrap();
    first.accept("j0").unwrap();
    let (store, now) = (harness.store.clone(), harness.now.clone());
    harness.store.before_next_write(move || {
        let harness = Harness { store, now };
        let mut second = harness.open("n2").unwrap();
        second.accept("j1").unwrap();
        second.snapshot();
        harness.advance(SEGMENT_RETENTION);
        while second.journal.delete_covered(4).unwrap() > 0 {}
    });
    assert!(matches!(
        first.accept("stale"),
        Err(JournalError::Fenced(_))
    ));
    assert_eq!(names(&harness.open("n3").unwrap().state), ["j0", "j1"]);
}

/// Guards against replay that skips damaged values.
#[test]
fn a_damaged_value_is_an_error_that_names_the_key() {
    type Damage = fn(&mut Vec<u8>);
    let segment = "shard/a/seg/00000000000000000001";
    let cases: [(&str, Damage); 5] = [
        (segment, |v| v[20] ^= 1),
        (segment, |v| v.truncate(v.len() - 1)),
        (segment, Vec::clear),
        (segment, |v| v[0] = 9),
        ("shard/a/snap", |v| v[30] ^= 1),
    ];
    for (damaged, damage) in cases {
        let harness = Harness::default();
        let mut log = harness.open("n1").unwrap();
        if damaged.ends_with("snap") {
            log.snapshot();
        }
        log.accept("j0").unwrap();
        log.accept("j1").unwrap();
        harness.store.corrupt(damaged, damage);
        match harness.open("n2").map(|log| log.state) {
            Err(JournalError::Corrupt { key, .. }) => assert_eq!(key, damaged),
            other => panic!("{damaged}: {other:?}"),
        }
    }
}

/// Guards against replay that skips a missing segment.
#[test]
fn a_missing_segment_is_an_error() {
    use jujubelb::store::Expect;
    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    log.accept("j0").unwrap();
    log.accept("j1").unwrap();
    let key = "shard/a/seg/00000000000000000001";
    harness.store.delete(key, Expect::Any).unwrap();
    let error = harness.open("n2").map(|log| log.state).unwrap_err();
    assert!(
        matches!(&error, JournalError::Corrupt { key: k, .. } if k == key),
        "{error}"
    );
}

fn record(n: u64) -> Record {
    Record {
        id: RecordId {
            node: "n1".into(),
            seq: n,
        },
        at: WallTime::from_micros(n),
        shard: None,
        subject: Subject::Request("x".repeat(2_000).into()),
        action: Action::Refuse,
        cause: Cause::Deadline,
        place: None,
        facts: Vec::new(),
        revision: Revision(1),
        parent: None,
        count: 1,
    }
}

/// Guards against a snapshot above the store's limit for values. Records are dropped first;
/// then the body is divided into parts.
#[test]
fn a_large_snapshot_fits_the_store() {
    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    log.state.records = (0..2_000).map(record).collect();
    log.snapshot();
    let reopened = harness.open("n2").unwrap();
    let kept = reopened.state.records.len();
    assert!((100..2_000).contains(&kept), "{kept}");
    assert_eq!(reopened.state.records.back(), Some(&record(1_999)));

    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    for n in 0..20 {
        let mut segment = log.segment(&format!("a-job-with-a-rather-long-name-{n}"));
        let Change::Accepted { job } = &mut segment.changes[0] else {
            continue;
        };
        job.tasks = 2_000;
        log.journal.append(&segment).unwrap();
        log.state.apply(&segment).unwrap();
    }
    log.snapshot();
    assert!(
        harness
            .store
            .keys()
            .iter()
            .any(|key| key.contains("/part/"))
    );
    let reopened = harness.open("n2").unwrap();
    assert_eq!(reopened.state.tasks, log.state.tasks);
}

/// Guards against an oversized segment that is sent to the store or blocks the log.
#[test]
fn a_segment_above_the_limit_is_refused_without_a_call() {
    let harness = Harness::default();
    let mut log = harness.open("n1").unwrap();
    let mut segment = log.segment("j0");
    segment.records = (0..1_000).map(record).collect();
    let result = log.journal.append(&segment);
    assert!(matches!(
        result,
        Err(JournalError::Store(StoreError::TooLarge { .. }))
    ));
    assert!(!log.journal.has_unresolved());
    log.accept("j1").unwrap();
}
