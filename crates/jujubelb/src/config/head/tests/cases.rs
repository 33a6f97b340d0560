//! Single failures and their expected outcomes.

use super::fake_store::{FakeStore, Fault};
use super::{SITE, domain_change, files_change, team_file};
use crate::config::declare::OPERATIONS_FILE;
use crate::config::head::{
    ApplyError, CONTENT_PREFIX, ConfigReader, ContentCache, PollOutcome, Sweeper, apply, load,
};
use crate::model::{Code, Revision, Span, Time, WallTime};

fn seconds(s: u64) -> Time {
    Time::from_micros(s * 1_000_000)
}

fn apply_uncached(
    store: &FakeStore,
    change: &super::Change,
) -> Result<super::super::ApplyOutcome, ApplyError> {
    apply(store, &mut ContentCache::default(), change, WallTime::ZERO)
}

fn store_with_site() -> FakeStore {
    let store = FakeStore::default();
    apply_uncached(
        &store,
        &files_change("site", 0, &[("site.yaml", Some(SITE))]),
    )
    .expect("applied");
    store
}

/// Guards against overwriting a concurrent change of the same file.
#[test]
fn conflict_reports_the_other_change() {
    let store = store_with_site();
    let (mine, theirs) = (team_file("t", 1), team_file("t", 2));
    let other = files_change("theirs", 1, &[("t.yaml", Some(&theirs))]);
    // The other change is applied between the read and the write of the head.
    store.script([
        Fault::None,
        Fault::None,
        Fault::None,
        Fault::Race(other.into()),
    ]);
    let error = apply_uncached(&store, &files_change("mine", 1, &[("t.yaml", Some(&mine))]))
        .expect_err("lost");
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

/// Guards against conflicts between changes of different files, which would be too
/// frequent at 2,200 changes a day.
#[test]
fn changes_of_other_files_do_not_conflict() {
    let store = store_with_site();
    let (t, u) = (team_file("t", 1), team_file("u", 2));
    let other = files_change("theirs", 1, &[("u.yaml", Some(&u))]);
    store.script([
        Fault::None,
        Fault::None,
        Fault::None,
        Fault::Race(other.into()),
    ]);
    let outcome =
        apply_uncached(&store, &files_change("mine", 1, &[("t.yaml", Some(&t))])).expect("applied");
    assert_eq!(outcome.applied.map(|a| a.revision), Some(Revision(3)));
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    assert!(loaded.files.contains_key("t.yaml") && loaded.files.contains_key("u.yaml"));
}

/// Guards against a lost reply that is reported as a failure or applied twice.
#[test]
fn lost_reply_is_resolved_by_reading_the_head() {
    for fault in [Fault::ReplyLost, Fault::RequestLost, Fault::Late(2)] {
        let store = store_with_site();
        let text = team_file("t", 1);
        let change = files_change("mine", 1, &[("t.yaml", Some(&text))]);
        // The reads of the head and the site file and the write of the content succeed;
        // the fault hits the write of the head.
        store.script([Fault::None, Fault::None, Fault::None, fault.clone()]);
        let outcome = apply_uncached(&store, &change).expect("applied");
        assert_eq!(
            outcome.applied.map(|a| a.revision),
            Some(Revision(2)),
            "{fault:?}"
        );
        store.apply_all_late_writes();
        let loaded = load(&store, &mut ContentCache::default()).expect("readable");
        assert_eq!(loaded.head.revision, Revision(2), "{fault:?}");
        apply_uncached(&store, &change).expect("a repeat is the same change");
        let text = team_file("t", 9);
        let reused = apply_uncached(&store, &files_change("mine", 2, &[("t.yaml", Some(&text))]));
        assert!(matches!(reused, Err(ApplyError::ReusedId(_))), "{reused:?}");
    }
}

/// Guards against reporting "not applied" while the write may still take effect.
#[test]
fn outcome_is_unknown_while_a_write_may_take_effect() {
    let store = store_with_site();
    let text = team_file("t", 1);
    let change = files_change("mine", 1, &[("t.yaml", Some(&text))]);
    store.script([
        Fault::None,
        Fault::None,
        Fault::None,
        Fault::Late(9),
        Fault::Refused,
    ]);
    let error = apply_uncached(&store, &change).expect_err("unknown");
    assert_eq!(error.code(), Code::StoreUnknown);
    store.apply_all_late_writes();
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    assert_eq!(loaded.head.revision, Revision(2));
}

/// Guards against a domain that comes back into service when its file is applied again.
#[test]
fn domain_stays_out_when_its_file_is_applied_again() {
    let store = store_with_site();
    apply_uncached(&store, &domain_change("out", "a", true)).expect("applied");
    let text = format!("{SITE}# changed\n");
    apply_uncached(
        &store,
        &files_change("again", 2, &[("site.yaml", Some(&text))]),
    )
    .expect("applied");
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    let (config, _) = loaded.parse().expect("valid");
    assert!(config.domains["a"].out && !config.domains["b"].out);
    let direct = apply_uncached(
        &store,
        &files_change("ops", 3, &[(OPERATIONS_FILE, Some(""))]),
    );
    assert!(matches!(direct, Err(ApplyError::Malformed(_))));
    apply_uncached(&store, &domain_change("in", "a", false)).expect("applied");
    let loaded = load(&store, &mut ContentCache::default()).expect("readable");
    assert!(!loaded.files.contains_key(OPERATIONS_FILE));
    let missing =
        apply_uncached(&store, &domain_change("x", "nowhere", true)).expect_err("unknown domain");
    assert_eq!(missing.code(), Code::NotFound);
}

/// Guards against partial application of an invalid or unsafe change.
#[test]
fn invalid_changes_are_not_applied() {
    let store = store_with_site();
    let good = team_file("t", 1);
    let set = [
        ("t.yaml", Some(good.as_str())),
        ("bad.yaml", Some("domains: [{ name: c }]")),
    ];
    let error = apply_uncached(&store, &files_change("bad", 1, &set)).expect_err("invalid");
    assert_eq!(error.body().problems.len(), 1);
    let used = "racks: [{ name: r, domain: a, shard: s, workers: [{ name: w, \
        address: \"127.0.0.1:9\", cpu: 1, memory: 1 GiB }] }]";
    apply_uncached(&store, &files_change("racks", 1, &[("r.yaml", Some(used))])).expect("applied");
    let error = apply_uncached(&store, &files_change("gone", 2, &[("r.yaml", None)]))
        .expect_err("in service");
    assert!(matches!(error, ApplyError::Forbidden(_)), "{error}");
    apply_uncached(&store, &domain_change("out", "a", true)).expect("applied");
    apply_uncached(&store, &files_change("gone-2", 3, &[("r.yaml", None)]))
        .expect("the domain is out of service");
}

/// Guards against returning to a lower revision and against a stale read as evidence.
#[test]
fn reader_never_returns_to_a_lower_revision() {
    let store = store_with_site();
    let mut reader = ConfigReader::default();
    assert!(matches!(
        reader.poll(&store, seconds(10)),
        Ok(PollOutcome::New(_))
    ));
    apply_uncached(&store, &domain_change("out", "a", true)).expect("applied");
    assert!(matches!(
        reader.poll(&store, seconds(11)),
        Ok(PollOutcome::New(_))
    ));
    assert!(reader.config().domains["a"].out);
    store.script([Fault::Stale(1)]);
    assert_eq!(
        reader.poll(&store, seconds(12)),
        Ok(PollOutcome::Older(Revision(1)))
    );
    assert_eq!(reader.evidence().read_start(), Some(seconds(11)));
    assert_eq!(reader.config().revision, Revision(2));
    assert_eq!(reader.poll(&store, seconds(13)), Ok(PollOutcome::Unchanged));
    assert!(reader.evidence().is_fresh(seconds(15)) && !reader.evidence().is_fresh(seconds(16)));
}

/// Guards against a peer's evidence for another revision, and against an age that reaches
/// back before the start of the clock.
#[test]
fn evidence_from_a_peer_keeps_its_age() {
    let store = store_with_site();
    let mut reader = ConfigReader::default();
    let mut peer = ConfigReader::default();
    peer.poll(&store, seconds(5)).expect("read");
    reader.confirm_from_peer(Revision(1), seconds(20), Span::from_secs(1));
    assert_eq!(
        reader.evidence().age(seconds(20)),
        None,
        "of another revision"
    );
    assert!(reader.adopt(peer.config().clone()));
    assert!(!reader.adopt(peer.config().clone()));
    reader.confirm_from_peer(Revision(1), seconds(20), Span::from_secs(1));
    assert_eq!(reader.evidence().age(seconds(21)), Some(Span::from_secs(2)));
    let mut young = ConfigReader::default();
    young.adopt(peer.config().clone());
    young.confirm_from_peer(Revision(1), seconds(1), Span::from_secs(10));
    assert!(!young.evidence().is_fresh(seconds(1)));
}

/// Guards against unused contents that accumulate, and against the removal of a content
/// that a change uses again.
#[test]
fn sweeper_removes_only_unused_contents() {
    let store = store_with_site();
    let mut texts = Vec::new();
    for n in 1..=20 {
        texts.push(team_file("t", n));
        let change = files_change(
            &format!("c{n}"),
            n.into(),
            &[("t.yaml", texts.last().map(|s| &**s))],
        );
        apply_uncached(&store, &change).expect("applied");
    }
    let mut sweeper = Sweeper::default();
    let steps = |sweeper: &mut Sweeper, time| -> usize {
        (0..4)
            .map(|_| sweeper.step(&store, time).expect("swept"))
            .sum()
    };
    assert_eq!(steps(&mut sweeper, seconds(0)), 0);
    assert_eq!(steps(&mut sweeper, seconds(3_000)), 0, "too early");
    // The first content is used again and must not be removed.
    apply_uncached(
        &store,
        &files_change("back", 21, &[("t.yaml", Some(&texts[0]))]),
    )
    .expect("applied");
    steps(&mut sweeper, seconds(3_600));
    let contents = |store: &FakeStore| {
        store
            .keys()
            .iter()
            .filter(|k| k.starts_with(CONTENT_PREFIX))
            .count()
    };
    assert_eq!(
        contents(&store),
        2 + 1,
        "the site file, the content in use, and the one replaced last"
    );
    let loaded = load(&store, &mut ContentCache::default()).expect("complete");
    assert_eq!(loaded.files["t.yaml"], texts[0]);
}

/// Guards against a stale read after which a pending write is considered failed.
#[test]
fn stale_read_does_not_resolve_a_pending_write() {
    let store = store_with_site();
    let (t, u) = (team_file("t", 1), team_file("u", 1));
    apply_uncached(&store, &files_change("u", 1, &[("u.yaml", Some(&u))])).expect("applied");
    let mut contents = ContentCache::default();
    load(&store, &mut contents).expect("readable");
    // First try: the write takes effect late. Second try: the read returns the head from
    // before `u` and the reply to the write is lost. Third try: the store refuses.
    let first = [Fault::None, Fault::None, Fault::Late(20)];
    let second = [Fault::Stale(2), Fault::None, Fault::ReplyLost];
    let third = [Fault::None, Fault::None, Fault::Refused];
    store.script(first.into_iter().chain(second).chain(third));
    let change = files_change("t", 1, &[("t.yaml", Some(&t))]);
    let error = apply(&store, &mut contents, &change, WallTime::ZERO).expect_err("unknown");
    assert_eq!(error.code(), Code::StoreUnknown);
    store.apply_all_late_writes();
    let loaded = load(&store, &mut contents).expect("readable");
    assert_eq!(
        loaded.head.revision,
        Revision(3),
        "the late write took effect"
    );
}

/// Applies two versions of a team file and returns both texts.
fn apply_two_versions(store: &FakeStore) -> (String, String) {
    let (old, new) = (team_file("t", 1), team_file("t", 2));
    apply_uncached(store, &files_change("old", 1, &[("t.yaml", Some(&old))])).expect("applied");
    apply_uncached(store, &files_change("new", 2, &[("t.yaml", Some(&new))])).expect("applied");
    (old, new)
}

/// Guards against losing a content that is swept while the change that uses it pauses
/// between the writes of the content and the head.
#[test]
fn sweep_during_a_paused_change_loses_nothing() {
    let store = store_with_site();
    let (old, _) = apply_two_versions(&store);
    // The reads of the head and two contents and the write of the old content succeed;
    // then the change pauses for several sweeps.
    let fine = std::iter::repeat_n(Fault::None, 4);
    store.script(fine.chain([Fault::Sweep(5)]));
    apply_uncached(&store, &files_change("back", 3, &[("t.yaml", Some(&old))])).expect("applied");
    let loaded = load(&store, &mut ContentCache::default()).expect("complete");
    assert_eq!(loaded.files["t.yaml"], old);
}

/// Guards against losing a content that is used again just before it is deleted.
#[test]
fn change_during_a_sweep_loses_nothing() {
    let store = store_with_site();
    let (old, _) = apply_two_versions(&store);
    let mut sweeper = Sweeper::default();
    assert_eq!(sweeper.step(&store, seconds(0)), Ok(0));
    let back = files_change("back", 3, &[("t.yaml", Some(&old))]);
    // The change is applied after the sweep has rewritten the head and before it deletes.
    store.script([Fault::None, Fault::None, Fault::Race(back.into())]);
    assert_eq!(sweeper.step(&store, seconds(4_000)), Ok(0));
    assert!(store.race_results()[0].1.is_ok());
    let loaded = load(&store, &mut ContentCache::default()).expect("complete");
    assert_eq!(loaded.files["t.yaml"], old);
}

/// Guards against a head that exceeds the store's maximum value size.
#[test]
fn head_stays_small_when_changes_write_all_files() {
    let store = store_with_site();
    let names: Vec<String> = (0..250).map(|n| format!("{n:0>90}.yaml")).collect();
    for round in 0..70 {
        let text = format!("# {round}\n");
        let list: Vec<_> = names
            .iter()
            .map(|n| (n.as_str(), Some(text.as_str())))
            .collect();
        apply_uncached(
            &store,
            &files_change(&format!("c{round}"), 1 + round, &list),
        )
        .expect("applied");
    }
    let head = store.heads().pop().expect("a head");
    let size = serde_json::to_vec(&head).expect("JSON").len();
    assert!(size < crate::store::MAX_VALUE_BYTES / 2, "{size}");
}
