//! Tests of explanations, tables and the filters of `events`.

use super::commands::{Filter, Overview, TaskList};
use super::explain::{
    chains, job_of, line, paragraph, parked, parse_action, parse_cause, sentence, time, waiting,
};
use super::export::{Render, Style};
use crate::config::declare::{Files, check};
use crate::model::{
    Action, Attempt, Cause, Epoch, Fact, NodeName, Priority, Record, RecordId, Resources, Revision,
    Span, Subject, TaskId, Unit, WallTime,
};
use crate::operator::api::{DomainTop, NodeTop, ServiceTop, TasksView, TopView};
use crate::peer::Role;
use crate::shard::{ShardSummary, TaskView, TeamUsage};

const STYLE: Style = Style {
    colour: false,
    width: 80,
};

fn task(index: u32) -> Subject {
    Subject::Task(TaskId {
        job: "reconcile-stock".into(),
        index,
    })
}

fn id(seq: u64) -> RecordId {
    RecordId {
        node: NodeName::from("entry-1/scheduler"),
        seq,
    }
}

fn record(seq: u64, subject: Subject, what: Action, why: Cause, parent: Option<u64>) -> Record {
    Record {
        id: id(seq),
        at: WallTime::from_millis(1_796_378_400_000 + seq * 1_000),
        shard: Some(("tunis-a-1".into(), Epoch(4))),
        subject,
        action: what,
        cause: why,
        place: None,
        facts: Vec::new(),
        revision: Revision(41),
        parent: parent.map(id),
        count: 1,
    }
}

/// An operator takes a domain out; a task there is evicted and starts elsewhere.
fn domain_removal() -> Vec<Record> {
    let domain = Subject::Domain("tunis-a".into());
    let mut evict = record(2, task(17), Action::Evict, Cause::DomainOut, Some(1));
    evict.place = Some("tunis-a-1-3".into());
    let mut delay = record(3, task(17), Action::Delay, Cause::NoCapacity, Some(2));
    delay.facts = vec![
        Fact::new("needed-memory", 24_000_000_000, Unit::Bytes),
        Fact::new("largest-free-memory", 12 << 30, Unit::Bytes),
        Fact::new("needed-cpu", 4_000, Unit::Millicores),
        Fact::new("waited", 1_500_000, Unit::Micros),
        Fact::new("load", 812, Unit::Permille),
    ];
    let mut start = record(5, task(17), Action::Start, Cause::Scheduled, Some(3));
    start.place = Some("tunis-b-3-1".into());
    let other = record(4, task(18), Action::Start, Cause::Scheduled, None);
    let apply = record(1, domain, Action::Remove, Cause::DomainOut, None);
    vec![apply, evict, delay, other, start]
}

/// Guards against chains without their root cause, in the wrong order, or
/// without the numbers that were compared.
#[test]
fn chain_goes_from_root_cause_to_action() {
    let found = chains(&domain_removal(), "reconcile-stock/17");
    assert_eq!(found.len(), 1);
    insta::assert_snapshot!(paragraph(&found[0]));
    let job = chains(&domain_removal(), "job reconcile-stock");
    assert_eq!(job.len(), 2, "a job means its tasks");
}

/// Guards against a chain that begins with an older revision, which did not
/// cause the action, and against one that doesn't say which revision did.
#[test]
fn chain_begins_with_the_revision_that_caused_the_action() {
    let mut first = record(1, Subject::Config, Action::Apply, Cause::ConfigChange, None);
    first.revision = Revision(40);
    let second = record(
        2,
        Subject::Config,
        Action::Apply,
        Cause::ConfigChange,
        Some(1),
    );
    let domain = Subject::Domain("tunis-a".into());
    let out = record(3, domain, Action::Remove, Cause::DomainOut, Some(2));
    let evict = record(4, task(17), Action::Evict, Cause::DomainOut, Some(3));
    let found = chains(&[first, second, out, evict], "reconcile-stock/17");
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].steps.len(), 3);
    assert_eq!(found[0].missing, None);
    assert!(line(&found[0].steps[0]).contains("configuration came into force as revision 41"));
}

/// Guards against a queued task without an explanation although a record of its job says why it waits.
#[test]
fn queued_task_is_explained_by_its_job() {
    assert_eq!(job_of("task reconcile-stock/19"), Some("reconcile-stock"));
    assert_eq!(job_of("reconcile-stock/19"), Some("reconcile-stock"));
    assert_eq!(job_of("entry-1/scheduler"), None);
    assert_eq!(job_of("reconcile-stock"), None);
    let mut records = domain_removal();
    let delay = record(6, task(18), Action::Delay, Cause::QuotaExhausted, Some(4));
    records.push(delay);
    assert!(
        chains(&records, "reconcile-stock/19").len() > 1,
        "all, as the name is unknown"
    );
    let found = waiting(chains(&records, "reconcile-stock"));
    assert_eq!(found.len(), 1, "the started task doesn't explain a wait");
    assert_eq!(
        found[0].steps.last().map(|r| r.cause),
        Some(Cause::QuotaExhausted)
    );
}

/// Guards against a parked task whose explanation ends with "it is tried again".
#[test]
fn parked_task_is_explained_by_its_job() {
    let job = Subject::Job("reconcile-stock".into());
    let mut records = domain_removal();
    records.push(record(6, job, Action::Park, Cause::JobFailing, None));
    let found = parked(chains(&records, "reconcile-stock"));
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].steps.last().map(|r| r.action), Some(Action::Park));
}

/// Guards against texts that state the opposite of what happened, or name a
/// task's limit where a caller's limit was exceeded.
#[test]
fn words_fit_the_subject_and_the_action() {
    let service = Subject::Service("fitting".into());
    let refused = record(1, service, Action::Refuse, Cause::LimitExceeded, None);
    assert!(sentence(&refused).contains("a caller exceeded its limit of requests (626)"));
    let text = paragraph(&chains(&[refused], "fitting")[0]);
    assert!(text.ends_with("`limits.rate` sets the limit"), "{text}");
    let endpoint = || Subject::Endpoint("fitting-1".into());
    for (cause, words) in [
        (
            Cause::HostLeaving,
            "no longer says that the host is leaving",
        ),
        (Cause::EndpointLeaving, "no longer says that it is leaving"),
        (Cause::DomainOut, "brought the failure domain in"),
    ] {
        let restored = record(2, endpoint(), Action::Restore, cause, None);
        assert!(
            sentence(&restored).contains(words),
            "{}",
            sentence(&restored)
        );
    }
    let mut taken = record(3, task(17), Action::HandOff, Cause::RoomElsewhere, None);
    taken.place = Some("tunis-b-1".into());
    assert!(sentence(&taken).contains("was taken in from tunis-b-1"));
    taken.facts = vec![Fact::new("needed-cpu", 4_000, Unit::Millicores)];
    assert!(sentence(&taken).contains("was handed off to tunis-b-1"));
}

/// Guards against a chain that begins in the middle without saying so.
#[test]
fn missing_causes_are_said() {
    let mut records = domain_removal();
    records.remove(0);
    records.reverse();
    let found = chains(&records, "task reconcile-stock/17");
    assert_eq!(found[0].missing, Some(id(1)));
    insta::assert_snapshot!(paragraph(&found[0]));
}

/// Guards against endless loops on damaged records.
#[test]
fn circular_causes_end() {
    let mut first = record(1, task(0), Action::Delay, Cause::NoCapacity, Some(2));
    first.count = 12;
    let second = record(2, task(1), Action::Delay, Cause::NoCapacity, Some(1));
    let found = chains(&[first, second], "reconcile-stock/0");
    assert_eq!(found[0].steps.len(), 2);
    assert!(sentence(&found[0].steps[1]).ends_with("[stands for 12 decisions]"));
    assert_eq!(
        time(WallTime::from_micros(u64::MAX)),
        format!("{} µs", u64::MAX)
    );
}

/// Guards against sentences that miss an action, and against names that the
/// filters of `events` don't know.
#[test]
fn every_action_and_cause_has_words() {
    let names = [
        "accept",
        "start",
        "move",
        "throttle",
        "unthrottle",
        "checkpoint",
        "evict",
        "stop",
        "complete",
        "fail",
        "refuse",
        "delay",
        "quarantine",
        "readmit",
        "park",
        "hand-off",
        "take-over",
        "step-down",
        "resize",
        "apply",
        "remove",
        "restore",
    ];
    let lines: Vec<String> = names
        .iter()
        .map(|name| {
            let action = parse_action(name).expect(name);
            let mut r = record(1, task(0), action, Cause::Requested, None);
            r.place = Some("w-1".into());
            sentence(&r)
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    for known in Cause::ALL {
        assert_eq!(parse_cause(&known.number().to_string()), Some(*known));
    }
    assert_eq!(parse_cause("quota-exhausted"), Some(Cause::QuotaExhausted));
    assert_eq!(
        (parse_cause("nonsense"), parse_action("nonsense")),
        (None, None)
    );
}

/// Guards against filters that hide or show too much.
#[test]
fn events_are_filtered() {
    let text = "regions: [r]\ndomains: [{ name: tunis-a, region: r }, { name: tunis-b, region: r }]
racks:
  - { name: a, domain: tunis-a, shard: tunis-a-1, workers: [{ name: tunis-a-1-3, address: '127.0.0.1:1', cpu: 1, memory: 1 GB }] }
  - { name: b, domain: tunis-b, shard: tunis-b-1, workers: [{ name: tunis-b-3-1, address: '127.0.0.1:2', cpu: 1, memory: 1 GB }] }
";
    let files = Files::from([("site.yaml".to_owned(), text.to_owned())]);
    let base = || Filter {
        config: check(&files).expect("valid"),
        jobs: [("reconcile-stock".into(), "accounts".into())].into(),
        ..Filter::default()
    };
    let show = |filter: &Filter| -> Vec<u64> {
        let wanted = domain_removal().into_iter().filter(|r| filter.matches(r));
        wanted.map(|r| r.id.seq).collect()
    };
    let by_domain = Filter {
        domain: Some("tunis-b".into()),
        ..base()
    };
    assert_eq!(show(&by_domain), [5]);
    let by_team = Filter {
        team: Some("accounts".into()),
        ..base()
    };
    assert_eq!(show(&by_team), [2, 3, 4, 5]);
    let by_action = Filter {
        action: Some(Action::Start),
        cause: parse_cause("601"),
        ..base()
    };
    assert_eq!(show(&by_action), [4, 5]);
    assert_eq!(
        line(&domain_removal()[3]).split("  ").next(),
        Some("2026-12-04T10:00:04Z")
    );
}

fn tasks() -> TasksView {
    let view = |index, state: &str, worker: Option<&str>| TaskView {
        task: TaskId {
            job: "reconcile-payments".into(),
            index,
        },
        team: "accounts".into(),
        priority: Priority::Batch,
        state: state.into(),
        attempt: Attempt(u64::from(index)),
        worker: worker.map(Into::into),
        limit: Resources::new(1_500, 24_000_000_000, index),
        checkpoint: None,
    };
    TasksView {
        sources: Vec::new(),
        tasks: vec![
            view(0, "running", Some("tunis-a-1-3")),
            view(1, "queued", None),
            view(2, "parked", None),
        ],
    }
}

/// Guards against tables that break in 80 columns.
#[test]
fn task_table_fits() {
    let text = TaskList(tasks()).text(&STYLE);
    assert!(text.lines().all(|l| l.chars().count() <= 80));
    insta::assert_snapshot!(text);
    let coloured = Style {
        colour: true,
        ..STYLE
    };
    assert!(!text.contains('\u{1b}') && TaskList(tasks()).text(&coloured).contains('\u{1b}'));
}

fn overview() -> TopView {
    let name = |n: u32| format!("minami-kyushu-kagoshima-{n}");
    let size = Resources::new(448_000, 1_808_000_000_000, 0);
    TopView {
        node: NodeName::from("entry-1/entry"),
        age: Some(Span::from_millis(420)),
        revision: Revision(41),
        domains: vec![DomainTop {
            domain: name(1).as_str().into(),
            region: "minami-kyushu".into(),
            out: true,
            workers: 200,
            capacity: size,
        }],
        shards: vec![ShardSummary {
            shard: name(2).as_str().into(),
            domain: name(1).as_str().into(),
            owner: NodeName::from("entry-12/scheduler"),
            epoch: Epoch(17),
            free: size,
            largest: size,
            queued: 12_000,
            running: 3_900,
        }],
        services: vec![ServiceTop {
            service: "steward-desk".into(),
            rate: 7_100,
            refused: 3,
            inflight: 310,
            p50: Span::from_millis(12),
            p99: Span::from_millis(250),
            endpoints: 48,
        }],
        teams: vec![TeamUsage {
            team: "sorting".into(),
            used: Resources::new(750_500, 3_000_000_000_000, 0),
            share: Resources::new(1_000_000, 4_000_000_000_000, 2),
        }],
        nodes: vec![NodeTop {
            node: NodeName::from("entry-12/scheduler"),
            role: Role::Scheduler,
            domain: name(1).as_str().into(),
            draining: true,
            alive: true,
            revision: Revision(40),
            age: None,
        }],
        quarantined: vec!["tunis-a-1-3".into()],
    }
}

/// Guards against an overview that is not legible in 80 columns.
#[test]
fn overview_fits_in_80_columns() {
    let text = Overview(overview()).text(&STYLE);
    assert!(text.lines().all(|l| l.chars().count() <= 80));
    insta::assert_snapshot!(text);
}
