//! Property test of concurrent changes, lost replies, stale reads and sweeps.

use proptest::prelude::*;
use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use super::fake_store::{FakeStore, Fault};
use super::{SITE, domain_change, files_change, team_file};
use crate::config::head::{
    ApplyError, ApplyOutcome, Change, ConfigReader, ContentCache, Edit, Head, apply, load,
};
use crate::model::{Revision, Time, WallTime};

const FILE_NAMES: [&str; 3] = ["t.yaml", "u.yaml", "v.yaml"];

/// A generated edit. Files are indices into `FILE_NAMES`; `behind` is how many revisions the
/// change is based behind the newest.
#[derive(Debug, Clone)]
enum EditSpec {
    Files {
        first: usize,
        second: Option<usize>,
        cores: u32,
        behind: u64,
    },
    Remove {
        file: usize,
        behind: u64,
    },
    Domain {
        out: bool,
    },
}

#[derive(Debug, Clone)]
enum Step {
    Apply(EditSpec, Vec<FaultSpec>),
    Poll(Vec<FaultSpec>),
    Sweep,
}

#[derive(Debug, Clone)]
enum FaultSpec {
    Numbered(usize),
    Sweep(usize),
    Race(EditSpec),
}

fn edit_spec() -> impl Strategy<Value = EditSpec> {
    prop_oneof![
        4 => (0..3usize, prop::option::of(0..3usize), 1..6u32, 0..3u64)
            .prop_map(|(first, second, cores, behind)| EditSpec::Files { first, second, cores, behind }),
        1 => (0..3usize, 0..3u64).prop_map(|(file, behind)| EditSpec::Remove { file, behind }),
        1 => any::<bool>().prop_map(|out| EditSpec::Domain { out }),
    ]
}

fn fault_spec() -> impl Strategy<Value = FaultSpec> {
    prop_oneof![
        5 => Just(FaultSpec::Numbered(0)),
        4 => (1..7usize).prop_map(FaultSpec::Numbered),
        2 => (1..5usize).prop_map(FaultSpec::Sweep),
        2 => edit_spec().prop_map(FaultSpec::Race),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let fault_specs = || prop::collection::vec(fault_spec(), 0..12);
    prop_oneof![
        5 => (edit_spec(), fault_specs()).prop_map(|(d, t)| Step::Apply(d, t)),
        2 => fault_specs().prop_map(Step::Poll),
        1 => Just(Step::Sweep),
    ]
}

fn build(edit_spec: &EditSpec, id: String, revision: Revision) -> Change {
    let base = |behind: u64| revision.0.saturating_sub(behind);
    match edit_spec {
        EditSpec::Files {
            first,
            second,
            cores,
            behind,
        } => {
            let names = [Some(*first), second.filter(|s| s != first)];
            let texts: Vec<_> = names
                .into_iter()
                .flatten()
                .map(|n| (FILE_NAMES[n], team_file(&format!("team-{n}"), *cores)))
                .collect();
            let list: Vec<_> = texts.iter().map(|(n, t)| (*n, Some(t.as_str()))).collect();
            files_change(&id, base(*behind), &list)
        }
        EditSpec::Remove { file, behind } => {
            files_change(&id, base(*behind), &[(FILE_NAMES[*file], None)])
        }
        EditSpec::Domain { out } => domain_change(&id, "a", *out),
    }
}

fn fault(fault_spec: &FaultSpec, id: String, revision: Revision) -> Fault {
    match fault_spec {
        FaultSpec::Numbered(1) => Fault::Refused,
        FaultSpec::Numbered(2) => Fault::ReplyLost,
        FaultSpec::Numbered(3) => Fault::RequestLost,
        FaultSpec::Numbered(4) => Fault::Late(4),
        FaultSpec::Numbered(5) => Fault::Stale(1),
        FaultSpec::Numbered(6) => Fault::Stale(3),
        FaultSpec::Numbered(_) => Fault::None,
        FaultSpec::Sweep(steps) => Fault::Sweep(*steps),
        FaultSpec::Race(edit_spec) => Fault::Race(Box::new(build(edit_spec, id, revision))),
    }
}

/// Returns the distinct heads in the order in which they were written.
fn history(store: &FakeStore) -> Vec<Head> {
    let mut heads = store.heads();
    heads.dedup();
    heads
}

/// Checks that each head adds exactly one change to its predecessor.
fn check_history(heads: &[Head]) -> Result<(), TestCaseError> {
    for pair in heads.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        prop_assert_eq!(before.revision.next(), after.revision);
        prop_assert_eq!(&before.recent[..], &after.recent[..after.recent.len() - 1]);
        let change = after.last_change().expect("a change");
        for (name, file) in &after.files {
            let touched = change.files.contains(name);
            prop_assert!(
                touched || before.files.get(name) == Some(file),
                "{} changed",
                name
            );
        }
        let gone = before
            .files
            .keys()
            .filter(|n| !after.files.contains_key(*n));
        prop_assert!(gone.into_iter().all(|n| change.files.contains(n)));
    }
    Ok(())
}

/// Checks that the reported result of a change agrees with the heads.
fn check_result(
    heads: &[Head],
    change: &Change,
    result: &Result<ApplyOutcome, ApplyError>,
) -> Result<(), TestCaseError> {
    let made: Vec<usize> = (0..heads.len())
        .filter(|i| {
            heads[*i]
                .last_change()
                .is_some_and(|a| a.change == change.id)
        })
        .collect();
    prop_assert!(made.len() <= 1, "{} took effect twice", change.id);
    match result {
        Ok(outcome) if !outcome.unchanged => prop_assert_eq!(made.len(), 1, "{}", change.id),
        Ok(_) => prop_assert!(made.is_empty()),
        Err(ApplyError::Unknown(_)) => {}
        Err(e) => prop_assert!(
            made.is_empty(),
            "{} failed with {} but took effect",
            change.id,
            e
        ),
    }
    let (Some(index), Edit::Files { expected, files }) = (made.first(), &change.edit) else {
        return Ok(());
    };
    let Some(before) = index.checked_sub(1).map(|i| &heads[i]) else {
        return Ok(());
    };
    for (name, text) in files {
        let hash = text.as_ref().map(|t| super::super::hash(t));
        let after = heads[*index].files.get(name).map(|f| f.content.clone());
        prop_assert_eq!(&after, &hash, "{} was applied partially", name);
        let replaced = before.files.get(name);
        if replaced.map(|f| f.content.clone()) != hash {
            let seen = replaced.is_none_or(|f| f.revision <= *expected);
            prop_assert!(
                seen,
                "{} replaced a change of {} that it had not seen",
                change.id,
                name
            );
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against accepted changes that are lost or reverted, partially applied changes,
    /// results that contradict the store, and readers that return to a lower revision.
    #[test]
    fn concurrent_changes_are_not_lost(steps in prop::collection::vec(step(), 1..25)) {
        let store = FakeStore::default();
        let mut contents = ContentCache::default();
        let first = files_change("site", 0, &[("site.yaml", Some(SITE))]);
        apply(&store, &mut contents, &first, WallTime::ZERO).expect("the store is empty");
        let mut reader = ConfigReader::default();
        let mut results = Vec::new();
        let mut time = Time::ZERO;
        for (n, step) in steps.iter().enumerate() {
            time = time + crate::model::Span::from_secs(1_500);
            let revision = store.heads().last().map_or(Revision(0), |h| h.revision);
            let script = |list: &[FaultSpec]| {
                let fault = |(i, t)| fault(t, format!("race-{n}-{i}"), revision);
                store.script(list.iter().enumerate().map(fault));
            };
            match step {
                Step::Apply(edit_spec, fault_specs) => {
                    let change = build(edit_spec, format!("change-{n}"), revision);
                    script(fault_specs);
                    let result = apply(&store, &mut contents, &change, WallTime::ZERO);
                    results.push((change, result));
                }
                Step::Poll(fault_specs) => {
                    script(fault_specs);
                    let held = reader.config().revision;
                    let _ = reader.poll(&store, time);
                    prop_assert!(reader.config().revision >= held);
                }
                Step::Sweep => store.sweep(),
            }
            store.script([]);
            let loaded = load(&store, &mut ContentCache::default());
            prop_assert!(loaded.is_ok(), "the head refers to a missing content: {:?}", loaded.err());
        }
        store.apply_all_late_writes();
        let heads = history(&store);
        check_history(&heads)?;
        results.extend(store.race_results());
        for (change, result) in &results {
            check_result(&heads, change, result)?;
        }
        reader.poll(&store, time).expect("the store replies");
        prop_assert_eq!(Some(reader.config().revision), heads.last().map(|h| h.revision));
    }
}
