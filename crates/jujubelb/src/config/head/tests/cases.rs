//! Single failures with their expected outcome.

use super::fake::{Fake, Fault};
use super::{SITE, domain, files, team};
use crate::config::declare::OPERATIONS_FILE;
use crate::config::head::{
    ApplyError, CONTENT, ConfigReader, ContentCache, PollOutcome, Sweeper, apply, load,
};
use crate::model::{Code, Revision, Span, Time, WallTime};

fn at(s: u64) -> Time {
    Time::from_micros(s * 1_000_000)
}

fn run(store: &Fake, change: &super::Change) -> Result<super::super::ApplyOutcome, ApplyError> {
    apply(store, &mut ContentCache::default(), change, WallTime::ZERO)
}

fn started() -> Fake {
    let store = Fake::default();
    run(&store, &files("site", 0, &[("site.yaml", Some(SITE))])).expect("applied");
    store
}

/// Guards against a loser that silently overwrites the winner.
#[test]
fn loser_of_a_race_sees_the_other_change() {
    let store = started();
    let (mine, theirs) = (team("t", 1), team("t", 2));
    let other = files("theirs", 1, &[("t.yaml", Some(&theirs))]);
    // The other operator comes first between the read and the swap of the head.
    store.script([
        Fault::Fine,
        Fault::Fine,
        Fault::Fine,
        Fault::Race(other.into()),
    ]);
    let error = run(&store, &files("mine", 1, &[("t.yaml", Some(&mine))])).expect_err("lost");
    let ApplyError::Conflict(other) = &error else {
        panic!("{error}");
    };
    assert_eq!(
        (other.change.as_str(), other.author.as_str()),
        ("theirs", "author-theirs")
    );
    let body = error.body();
    assert_eq!((body.code, body.number), (Code::ConfigConflict, 405));
    assert_eq!(body.other.map(|o| o.revision), Some(Revision(2)));
}

/// Guards against conflicts between changes of different files, which would be
/// too frequent at 2,200 changes a day.
#[test]
fn changes_of_other_files_do_not_conflict() {
    let store = started();
    let (t, u) = (team("t", 1), team("u", 2));
    let other = files("theirs", 1, &[("u.yaml", Some(&u))]);
    store.script([
        Fault::Fine,
        Fault::Fine,
        Fault::Fine,
        Fault::Race(other.into()),
    ]);
    let outcome = run(&store, &files("mine", 1, &[("t.yaml", Some(&t))])).expect("applied");
    assert_eq!(outcome.applied.map(|a| a.revision), Some(Revision(3)));
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    assert!(loaded.files.contains_key("t.yaml") && loaded.files.contains_key("u.yaml"));
}

/// Guards against a lost answer that is reported as failure or applied twice.
#[test]
fn lost_answer_is_resolved_by_reading_back() {
    for fault in [Fault::AnswerLost, Fault::RequestLost, Fault::Late(2)] {
        let store = started();
        let text = team("t", 1);
        let change = files("mine", 1, &[("t.yaml", Some(&text))]);
        // Reads of head and site, write of the content, then the swap of the head.
        store.script([Fault::Fine, Fault::Fine, Fault::Fine, fault.clone()]);
        let outcome = run(&store, &change).expect("applied");
        assert_eq!(
            outcome.applied.map(|a| a.revision),
            Some(Revision(2)),
            "{fault:?}"
        );
        store.settle();
        let loaded = load(&store, &mut ContentCache::default()).expect("readable");
        assert_eq!(loaded.head.revision, Revision(2), "{fault:?}");
        run(&store, &change).expect("a repeat is the same change");
        let text = team("t", 9);
        let reused = run(&store, &files("mine", 2, &[("t.yaml", Some(&text))]));
        assert!(matches!(reused, Err(ApplyError::Reused(_))), "{reused:?}");
    }
}

/// Guards against "not applied" while the write may still take effect.
#[test]
fn outcome_is_unknown_while_a_write_may_land() {
    let store = started();
    let text = team("t", 1);
    let change = files("mine", 1, &[("t.yaml", Some(&text))]);
    store.script([
        Fault::Fine,
        Fault::Fine,
        Fault::Fine,
        Fault::Late(9),
        Fault::Refused,
    ]);
    let error = run(&store, &change).expect_err("unknown");
    assert_eq!(error.code(), Code::StoreUnknown);
    store.settle();
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    assert_eq!(loaded.head.revision, Revision(2));
}

/// Guards against an `out` that the next apply of the domain's file undoes.
#[test]
fn domain_stays_out_when_its_file_is_applied_again() {
    let store = started();
    run(&store, &domain("out", "a", true)).expect("applied");
    let text = format!("{SITE}# changed\n");
    run(&store, &files("again", 2, &[("site.yaml", Some(&text))])).expect("applied");
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    let (config, _) = loaded.parts().expect("valid");
    assert!(config.domains["a"].out && !config.domains["b"].out);
    let direct = run(&store, &files("ops", 3, &[(OPERATIONS_FILE, Some(""))]));
    assert!(matches!(direct, Err(ApplyError::Malformed(_))));
    run(&store, &domain("in", "a", false)).expect("applied");
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    assert!(!loaded.files.contains_key(OPERATIONS_FILE));
    let missing = run(&store, &domain("x", "nowhere", true)).expect_err("unknown domain");
    assert_eq!(missing.code(), Code::NotFound);
}

/// Guards against partial application of a set with errors.
#[test]
fn invalid_sets_change_nothing() {
    let store = started();
    let good = team("t", 1);
    let set = [
        ("t.yaml", Some(good.as_str())),
        ("bad.yaml", Some("domains: [{ name: c }]")),
    ];
    let error = run(&store, &files("bad", 1, &set)).expect_err("invalid");
    assert_eq!(error.body().problems.len(), 1);
    let used = "racks: [{ name: r, domain: a, shard: s, workers: [{ name: w, \
        address: \"127.0.0.1:9\", cpu: 1, memory: 1 GiB }] }]";
    run(&store, &files("racks", 1, &[("r.yaml", Some(used))])).expect("applied");
    let error = run(&store, &files("gone", 2, &[("r.yaml", None)])).expect_err("in service");
    assert!(matches!(error, ApplyError::Forbidden(_)), "{error}");
    run(&store, &domain("out", "a", true)).expect("applied");
    run(&store, &files("gone-2", 3, &[("r.yaml", None)])).expect("the domain is out");
}

/// Guards against a process that goes back or takes a stale read as evidence.
#[test]
fn reader_never_goes_back() {
    let store = started();
    let mut reader = ConfigReader::default();
    assert!(matches!(
        reader.poll(&store, at(10)),
        Ok(PollOutcome::New(_))
    ));
    run(&store, &domain("out", "a", true)).expect("applied");
    assert!(matches!(
        reader.poll(&store, at(11)),
        Ok(PollOutcome::New(_))
    ));
    assert!(reader.config().domains["a"].out);
    store.script([Fault::Stale(1)]);
    assert_eq!(
        reader.poll(&store, at(12)),
        Ok(PollOutcome::Older(Revision(1)))
    );
    assert_eq!(reader.evidence().read_start(), Some(at(11)));
    assert_eq!(reader.config().revision, Revision(2));
    assert_eq!(reader.poll(&store, at(13)), Ok(PollOutcome::Same));
    assert!(reader.evidence().is_fresh(at(15)) && !reader.evidence().is_fresh(at(16)));
}

/// Guards against evidence of another revision and ages before the clock's start.
#[test]
fn relayed_evidence_keeps_its_age() {
    let store = started();
    let mut reader = ConfigReader::default();
    let mut peer = ConfigReader::default();
    peer.poll(&store, at(5)).expect("read");
    reader.confirm_from_peer(Revision(1), at(20), Span::from_secs(1));
    assert_eq!(reader.evidence().age(at(20)), None, "of another revision");
    assert!(reader.adopt(peer.config().clone()));
    assert!(!reader.adopt(peer.config().clone()));
    reader.confirm_from_peer(Revision(1), at(20), Span::from_secs(1));
    assert_eq!(reader.evidence().age(at(21)), Some(Span::from_secs(2)));
    let mut young = ConfigReader::default();
    young.adopt(peer.config().clone());
    young.confirm_from_peer(Revision(1), at(1), Span::from_secs(10));
    assert!(!young.evidence().is_fresh(at(1)));
}

/// Guards against contents that pile up, and against the removal of one that a
/// change uses again.
#[test]
fn sweeper_removes_only_unused_contents() {
    let store = started();
    let mut texts = Vec::new();
    for n in 1..=20 {
        texts.push(team("t", n));
        let change = files(
            &format!("c{n}"),
            n.into(),
            &[("t.yaml", texts.last().map(|s| &**s))],
        );
        run(&store, &change).expect("applied");
    }
    let mut sweeper = Sweeper::default();
    let steps = |sweeper: &mut Sweeper, time| -> usize {
        (0..4)
            .map(|_| sweeper.step(&store, time).expect("swept"))
            .sum()
    };
    assert_eq!(steps(&mut sweeper, at(0)), 0);
    assert_eq!(steps(&mut sweeper, at(3_000)), 0, "too early");
    // The first content is used again and has to stay.
    run(&store, &files("back", 21, &[("t.yaml", Some(&texts[0]))])).expect("applied");
    steps(&mut sweeper, at(3_600));
    let contents = |store: &Fake| {
        store
            .keys()
            .iter()
            .filter(|k| k.starts_with(CONTENT))
            .count()
    };
    assert_eq!(
        contents(&store),
        2 + 1,
        "site, the used one, and the one replaced last"
    );
    let loaded = load(&store, &mut ContentCache::default()).expect("complete");
    assert_eq!(loaded.files["t.yaml"], texts[0]);
}

/// Guards against a stale read that makes a pending write look settled.
#[test]
fn stale_read_does_not_settle_a_pending_write() {
    let store = started();
    let (t, u) = (team("t", 1), team("u", 1));
    run(&store, &files("u", 1, &[("u.yaml", Some(&u))])).expect("applied");
    let mut contents = ContentCache::default();
    load(&store, &mut contents).expect("readable");
    // First try: the write is late. Second try: a head from before `u` is read
    // and the write against it is lost. Third try: the store refuses.
    let first = [Fault::Fine, Fault::Fine, Fault::Late(20)];
    let second = [Fault::Stale(2), Fault::Fine, Fault::AnswerLost];
    let third = [Fault::Fine, Fault::Fine, Fault::Refused];
    store.script(first.into_iter().chain(second).chain(third));
    let change = files("t", 1, &[("t.yaml", Some(&t))]);
    let error = apply(&store, &mut contents, &change, WallTime::ZERO).expect_err("unknown");
    assert_eq!(error.code(), Code::StoreUnknown);
    store.settle();
    let loaded = load(&store, &mut contents).expect("readable");
    assert_eq!(
        loaded.head.revision,
        Revision(3),
        "the late write took effect"
    );
}

/// Two versions of a team file, of which the second is in force.
fn replaced(store: &Fake) -> (String, String) {
    let (old, new) = (team("t", 1), team("t", 2));
    run(store, &files("old", 1, &[("t.yaml", Some(&old))])).expect("applied");
    run(store, &files("new", 2, &[("t.yaml", Some(&new))])).expect("applied");
    (old, new)
}

/// Guards against a change that is paused between its content and the head,
/// while the content is swept as unused.
#[test]
fn sweep_during_a_paused_change_loses_nothing() {
    let store = started();
    let (old, _) = replaced(&store);
    // Head, two contents, the write of the old content, then a long pause.
    let fine = std::iter::repeat_n(Fault::Fine, 4);
    store.script(fine.chain([Fault::Sweep(5)]));
    run(&store, &files("back", 3, &[("t.yaml", Some(&old))])).expect("applied");
    let loaded = load(&store, &mut ContentCache::default()).expect("complete");
    assert_eq!(loaded.files["t.yaml"], old);
}

/// Guards against a content that is used again just before it is deleted.
#[test]
fn change_during_a_sweep_loses_nothing() {
    let store = started();
    let (old, _) = replaced(&store);
    let mut sweeper = Sweeper::default();
    assert_eq!(sweeper.step(&store, at(0)), Ok(0));
    let back = files("back", 3, &[("t.yaml", Some(&old))]);
    // Read and rewrite of the head, then the change comes before the deletion.
    store.script([Fault::Fine, Fault::Fine, Fault::Race(back.into())]);
    assert_eq!(sweeper.step(&store, at(4_000)), Ok(0));
    assert!(store.raced()[0].1.is_ok());
    let loaded = load(&store, &mut ContentCache::default()).expect("complete");
    assert_eq!(loaded.files["t.yaml"], old);
}

/// Guards against a head that outgrows the store's largest value.
#[test]
fn head_stays_small_when_changes_touch_all_files() {
    let store = started();
    let names: Vec<String> = (0..250).map(|n| format!("{n:0>90}.yaml")).collect();
    for round in 0..70 {
        let text = format!("# {round}\n");
        let list: Vec<_> = names
            .iter()
            .map(|n| (n.as_str(), Some(text.as_str())))
            .collect();
        run(&store, &files(&format!("c{round}"), 1 + round, &list)).expect("applied");
    }
    let head = store.heads().pop().expect("a head");
    let size = serde_json::to_vec(&head).expect("JSON").len();
    assert!(size < crate::store::MAX_VALUE_BYTES / 2, "{size}");
}
