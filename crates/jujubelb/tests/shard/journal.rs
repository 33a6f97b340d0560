//! Failures of the log: lost answers, other writers, deleted segments, damage.

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

use super::support::store::{FakeStore, Fault};
use super::support::world::job;

type Clock = Box<dyn Fn() -> Time>;

/// A writer with its own view of the state, and a clock shared by all.
struct Log {
    journal: Journal<Arc<FakeStore>, Clock>,
    state: State,
    me: WriterId,
    seq: u64,
}

#[derive(Default)]
struct Bench {
    store: Arc<FakeStore>,
    now: Arc<AtomicU64>,
}

impl Bench {
    fn pass(&self, span: Span) {
        self.now.fetch_add(span.as_micros(), Ordering::Relaxed);
    }

    fn open(&self, node: &str) -> Result<Log, JournalError> {
        let now = self.now.clone();
        let clock: Clock = Box::new(move || Time::from_micros(now.load(Ordering::Relaxed)));
        let me = WriterId {
            node: node.into(),
            incarnation: Incarnation(1),
        };
        let (journal, RecoveredLog { state, .. }) =
            Journal::open(self.store.clone(), clock, "a".into(), me.clone())?;
        Ok(Log {
            journal,
            state,
            me,
            seq: 0,
        })
    }
}

impl Log {
    fn segment(&mut self, name: &str) -> Segment {
        self.seq += 1;
        Segment {
            epoch: self.journal.epoch(),
            writer: self.me.clone(),
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

/// Guards against a replay that differs from live use.
#[test]
fn a_new_owner_replays_the_same_state() {
    let bench = Bench::default();
    let mut first = bench.open("n1").unwrap();
    for n in 0..40 {
        first.accept(&format!("j{n}")).unwrap();
        if n == 20 {
            first.snapshot();
        }
    }
    let second = bench.open("n2").unwrap();
    assert_eq!(second.state.jobs, first.state.jobs);
    assert_eq!(second.state.tasks, first.state.tasks);
    assert_eq!(second.state.epoch, first.state.epoch.next());
}

/// Guards against an append that is taken for failed, or made twice, after its answer was lost.
#[test]
fn a_lost_answer_is_resolved_by_reading_back() {
    for fault in [Fault::LoseAnswer, Fault::LoseRequest, Fault::Delay] {
        let bench = Bench::default();
        let mut log = bench.open("n1").unwrap();
        bench.store.fail_writes([fault, fault]);
        log.accept("j0").unwrap();
        bench.store.deliver_late();
        log.accept("j1").unwrap();
        let second = bench.open("n2").unwrap();
        assert_eq!(names(&second.state), ["j0", "j1"], "{fault:?}");
    }
}

/// Guards against taking an absent key for a write that never takes effect.
#[test]
fn an_unanswered_write_stays_unresolved_until_it_is_found_in_the_log() {
    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
    let segment = log.segment("j0");
    bench.store.fail_writes([Fault::Delay]);
    let result = log.journal.append(&segment);
    assert!(matches!(result, Err(JournalError::Unresolved(_))));
    bench.store.set_down(true);
    assert!(matches!(
        log.journal.resolve(),
        Err(JournalError::Unresolved(_))
    ));
    bench.store.set_down(false);
    bench.store.deliver_late();
    assert_eq!(log.journal.resolve(), Ok(()));
}

/// Guards against two owners that both append.
#[test]
fn a_replaced_owner_is_fenced() {
    let bench = Bench::default();
    let mut first = bench.open("n1").unwrap();
    first.accept("j0").unwrap();
    let mut second = bench.open("n2").unwrap();
    let fenced = first.accept("j1");
    assert_eq!(fenced, Err(JournalError::Fenced(second.journal.epoch())));
    second.accept("j2").unwrap();
    assert_eq!(names(&second.state), ["j0", "j2"]);
}

/// Guards against a certain refusal that is reported as unclear or blocks the log.
#[test]
fn a_refused_append_has_no_effect_and_can_be_replaced() {
    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
    bench.store.fail_writes([Fault::Refuse]);
    assert!(matches!(
        log.accept("j0"),
        Err(JournalError::Store(StoreError::Refused(_)))
    ));
    log.accept("j1").unwrap();
    assert_eq!(names(&bench.open("n2").unwrap().state), ["j1"]);
}

/// Writes 10 segments, has another owner cover and delete them, and lets the
/// first owner write at its next index, which was deleted.
fn write_at_a_deleted_index(bench: &Bench) -> (Log, Log) {
    let mut first = bench.open("n1").unwrap();
    first.accept("j0").unwrap();
    let mut second = bench.open("n2").unwrap();
    for n in 1..10 {
        second.accept(&format!("j{n}")).unwrap();
    }
    second.snapshot();
    bench.pass(SEGMENT_RETENTION);
    while second.journal.delete_covered(4).unwrap() > 0 {}
    let segments = bench.store.list("shard/a/seg/", "", 100).unwrap();
    assert!(segments.is_empty(), "all segments are covered");
    (first, second)
}

/// Guards against a paused writer that creates an index which was deleted and believes in it.
#[test]
fn a_stale_writer_at_a_deleted_index_steps_down() {
    let bench = Bench::default();
    let (mut first, mut second) = write_at_a_deleted_index(&bench);
    let fenced = first.accept("stale");
    assert_eq!(fenced, Err(JournalError::Fenced(second.journal.epoch())));
    second.accept("j10").unwrap();
    let third = bench.open("n3").unwrap();
    assert_eq!(third.state.jobs.len(), 11);
    assert!(third.state.jobs.get("stale").is_none());
}

/// Guards against deleting segments that a reader may still need.
#[test]
fn segments_are_kept_for_a_time_after_the_snapshot() {
    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
    log.accept("j0").unwrap();
    log.snapshot();
    bench.pass(Span::from_micros(SEGMENT_RETENTION.as_micros() - 1));
    assert_eq!(log.journal.delete_covered(10), Ok(0));
    bench.pass(Span::from_micros(1));
    assert_eq!(log.journal.delete_covered(10), Ok(2));
    assert_eq!(names(&bench.open("n2").unwrap().state), ["j0"]);
}

/// Guards against an owner that can't append any more after a pause although it was not replaced.
#[test]
fn an_owner_that_was_not_replaced_goes_on_after_a_pause() {
    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
    log.accept("j0").unwrap();
    log.snapshot();
    bench.pass(SNAPSHOT_CHECK_AFTER + SNAPSHOT_CHECK_AFTER);
    log.accept("j1").unwrap();
    assert_eq!(names(&bench.open("n2").unwrap().state), ["j0", "j1"]);
}

/// Guards against a slow append that takes effect at an index which was deleted meanwhile.
#[test]
fn a_slow_append_at_a_deleted_index_steps_down() {
    let bench = Bench::default();
    let mut first = bench.open("n1").unwrap();
    first.accept("j0").unwrap();
    let (store, now) = (bench.store.clone(), bench.now.clone());
    bench.store.before_next_write(move || {
        let bench = Bench { store, now };
        let mut second = bench.open("n2").unwrap();
        second.accept("j1").unwrap();
        second.snapshot();
        bench.pass(SEGMENT_RETENTION);
        while second.journal.delete_covered(4).unwrap() > 0 {}
    });
    assert!(matches!(
        first.accept("stale"),
        Err(JournalError::Fenced(_))
    ));
    assert_eq!(names(&bench.open("n3").unwrap().state), ["j0", "j1"]);
}

/// Guards against skipping damaged values.
#[test]
fn damage_is_an_error_that_names_the_key() {
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
        let bench = Bench::default();
        let mut log = bench.open("n1").unwrap();
        if damaged.ends_with("snap") {
            log.snapshot();
        }
        log.accept("j0").unwrap();
        log.accept("j1").unwrap();
        bench.store.damage(damaged, damage);
        match bench.open("n2").map(|log| log.state) {
            Err(JournalError::Corrupt { key, .. }) => assert_eq!(key, damaged),
            other => panic!("{damaged}: {other:?}"),
        }
    }
}

/// Guards against replaying across a hole in the log.
#[test]
fn a_missing_segment_is_an_error() {
    use jujubelb::store::Expect;
    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
    log.accept("j0").unwrap();
    log.accept("j1").unwrap();
    let key = "shard/a/seg/00000000000000000001";
    bench.store.delete(key, Expect::Any).unwrap();
    let error = bench.open("n2").map(|log| log.state).unwrap_err();
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

/// Guards against a value above the store's limit: records are left out of a
/// snapshot first, then it is divided.
#[test]
fn a_large_snapshot_fits_the_store() {
    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
    log.state.records = (0..2_000).map(record).collect();
    log.snapshot();
    let opened = bench.open("n2").unwrap();
    let kept = opened.state.records.len();
    assert!((100..2_000).contains(&kept), "{kept}");
    assert_eq!(opened.state.records.back(), Some(&record(1_999)));

    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
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
    assert!(bench.store.keys().iter().any(|key| key.contains("/part/")));
    let opened = bench.open("n2").unwrap();
    assert_eq!(opened.state.tasks, log.state.tasks);
}

/// Guards against an oversized segment that is sent to the store.
#[test]
fn a_segment_above_the_limit_is_refused_without_a_call() {
    let bench = Bench::default();
    let mut log = bench.open("n1").unwrap();
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
