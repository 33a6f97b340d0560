use super::read_schedule::{ReadSchedule, ScheduleInput, Step};
use super::records::records_about;
use crate::model::{
    Action, Cause, Incarnation, NodeName, Record, RecordId, Revision, Span, Subject, Time, WallTime,
};
use crate::peer::{Heartbeat, Liveness, Member, Role};

fn member(node: &str, domain: &str, revision: u64) -> Member {
    Member {
        heartbeat: Heartbeat {
            node: node.into(),
            incarnation: Incarnation(1),
            role: Role::Entry,
            address: "127.0.0.1:1".parse().unwrap(),
            interval: Span::from_millis(500),
            domain: domain.into(),
            draining: false,
            revision: Revision(revision),
            evidence: None,
            loads: Vec::new(),
            shards: Vec::new(),
        },
        received_at: Time::ZERO,
        liveness: Liveness::Alive,
    }
}

/// The next step of the process `node` of domain `d` at revision 5.
fn step(
    schedule: &mut ReadSchedule,
    ms: u64,
    node: &str,
    age: Option<u64>,
    members: &[Member],
) -> Step {
    let input = ScheduleInput {
        node: &node.into(),
        domain: &"d".into(),
        revision: Revision(5),
        age: age.map(Span::from_millis),
        members,
    };
    schedule.next(Time::from_millis(ms), &input)
}

/// Guards against a domain in which no process, or every process, reads the head.
#[test]
fn the_lowest_live_name_of_the_domain_reads_once_a_second() {
    let mut draining = member("a", "d", 5);
    draining.heartbeat.draining = true;
    let mut suspect = member("b", "d", 5);
    suspect.liveness = Liveness::Suspect;
    let members = [
        draining,
        suspect,
        member("0", "other", 5),
        member("z", "d", 5),
    ];
    let mut schedule = ReadSchedule::default();
    assert_eq!(step(&mut schedule, 1_000, "c", None, &members), Step::Read);
    assert_eq!(
        step(&mut schedule, 1_900, "c", Some(900), &members),
        Step::Wait
    );
    assert_eq!(
        step(&mut schedule, 2_000, "c", Some(1_000), &members),
        Step::Read
    );
    let mut schedule = ReadSchedule::default();
    let ask = Step::Ask("c".into());
    let members = [member("c", "d", 5)];
    assert_eq!(step(&mut schedule, 1_000, "z", None, &members), ask);
}

/// Guards against stale evidence because the reader is asked shortly before it reads.
#[test]
fn the_reader_is_asked_soon_after_its_read() {
    let members = [member("a", "d", 5)];
    let mut schedule = ReadSchedule::default();
    step(&mut schedule, 1_000, "z", None, &members);
    schedule.reply_received(Time::from_millis(1_000), Some(Span::from_millis(700)));
    assert_eq!(
        step(&mut schedule, 1_340, "z", Some(1_040), &members),
        Step::Wait
    );
    let ask = Step::Ask("a".into());
    assert_eq!(step(&mut schedule, 1_350, "z", Some(1_050), &members), ask);
}

/// Guards against a process that keeps depending on a reader without evidence.
#[test]
fn a_process_without_fresh_evidence_reads_after_a_delay_by_rank() {
    let members = [member("a", "d", 5), member("b", "d", 5)];
    let mut schedule = ReadSchedule::default();
    step(&mut schedule, 1_000, "z", Some(2_150), &members);
    assert_eq!(
        step(&mut schedule, 1_100, "z", Some(2_150), &members),
        Step::Wait
    );
    assert_eq!(
        step(&mut schedule, 1_200, "z", Some(2_250), &members),
        Step::Read
    );
}

/// Guards against a process that can't reach the store and doesn't ask a peer that
/// can, whatever their domains and ranks.
#[test]
fn a_peer_with_fresh_evidence_replaces_a_reader_without() {
    let mut fresh = member("far", "other", 5);
    fresh.heartbeat.evidence = Some(Span::from_millis(800));
    let members = [member("b", "d", 5), fresh];
    for node in ["a", "z"] {
        let mut schedule = ReadSchedule::default();
        assert_ne!(
            step(&mut schedule, 1_000, node, Some(1_500), &members),
            Step::Wait
        );
        assert_ne!(
            step(&mut schedule, 2_000, node, Some(2_001), &members),
            Step::Wait
        );
        let third = step(&mut schedule, 2_100, node, Some(2_100), &members);
        let fourth = step(&mut schedule, 3_100, node, Some(2_200), &members);
        let ask = Step::Ask("far".into());
        assert!(
            third == ask || fourth == ask,
            "{node}: {third:?} {fourth:?}"
        );
    }
}

/// Guards against a change that is delayed until the next regular request.
#[test]
fn a_peer_with_a_higher_revision_is_asked_at_once() {
    let members = [member("a", "d", 5), member("far", "other", 7)];
    let mut schedule = ReadSchedule::default();
    let ask = Step::Ask("far".into());
    assert_eq!(step(&mut schedule, 1_000, "z", Some(100), &members), ask);
    assert_eq!(
        step(&mut schedule, 1_100, "z", Some(100), &members),
        Step::Wait
    );
    assert_eq!(step(&mut schedule, 1_200, "z", Some(100), &members), ask);
}

fn record(seq: u64, subject: Subject, parent: Option<u64>) -> Record {
    let id = |seq| RecordId {
        node: NodeName::from("n"),
        seq,
    };
    Record {
        id: id(seq),
        at: WallTime::from_micros(seq),
        shard: None,
        subject,
        action: Action::Start,
        cause: Cause::Scheduled,
        place: Some("worker-1".into()),
        facts: Vec::new(),
        revision: Revision(1),
        parent: parent.map(id),
        count: 1,
    }
}

/// Guards against explanations that lack the root cause.
#[test]
fn records_are_returned_with_their_chain_of_parents() {
    let task = |job: &str| {
        Subject::Task(crate::model::TaskId {
            job: job.into(),
            index: 0,
        })
    };
    let records = [
        record(1, Subject::Config, None),
        record(2, Subject::Domain("d".into()), Some(1)),
        record(3, task("a"), Some(2)),
        record(4, task("b"), None),
    ];
    let found = |subject| {
        let found = records_about(records.iter(), subject, None);
        found.into_iter().map(|r| r.id.seq).collect::<Vec<_>>()
    };
    assert_eq!(found(Some("a/0")), [1, 2, 3]);
    assert_eq!(found(Some("a")), [1, 2, 3]);
    assert_eq!(found(Some("task b/0")), [4]);
    assert_eq!(found(Some("n#2")), [1, 2]);
    assert_eq!(found(Some("worker-1")), [1, 2, 3, 4]);
    assert_eq!(found(None).len(), 4);
    assert!(found(Some("c")).is_empty());
}

/// Guards against a stop signal that ends the process because it arrives before the process
/// waits for it.
#[test]
fn a_stop_signal_before_the_wait_is_kept() {
    let stop = super::StopSignal::install().unwrap();
    signal_hook::low_level::raise(signal_hook::consts::SIGTERM).unwrap();
    stop.wait();
}
