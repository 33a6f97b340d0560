//! Racing operators, lost answers, stale reads and sweeps against an oracle.

use proptest::prelude::*;
use proptest::test_runner::{Config as Runs, RngSeed};

use super::fake::{Fake, Fault};
use super::{SITE, domain, files, team};
use crate::config::head::{
    ApplyError, ApplyOutcome, Change, ConfigReader, ContentCache, Edit, Head, apply, load,
};
use crate::model::{Revision, Time, WallTime};

const NAMES: [&str; 3] = ["t.yaml", "u.yaml", "v.yaml"];

/// An edit without an identity. Files are given by index; the revision may be outdated.
#[derive(Debug, Clone)]
enum Draft {
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
    Apply(Draft, Vec<Trouble>),
    Poll(Vec<Trouble>),
    Sweep,
}

#[derive(Debug, Clone)]
enum Trouble {
    Plain(usize),
    Sweep(usize),
    Race(Draft),
}

fn draft() -> impl Strategy<Value = Draft> {
    prop_oneof![
        4 => (0..3usize, prop::option::of(0..3usize), 1..6u32, 0..3u64)
            .prop_map(|(first, second, cores, behind)| Draft::Files { first, second, cores, behind }),
        1 => (0..3usize, 0..3u64).prop_map(|(file, behind)| Draft::Remove { file, behind }),
        1 => any::<bool>().prop_map(|out| Draft::Domain { out }),
    ]
}

fn trouble() -> impl Strategy<Value = Trouble> {
    prop_oneof![
        5 => Just(Trouble::Plain(0)),
        4 => (1..7usize).prop_map(Trouble::Plain),
        2 => (1..5usize).prop_map(Trouble::Sweep),
        2 => draft().prop_map(Trouble::Race),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let troubles = || prop::collection::vec(trouble(), 0..12);
    prop_oneof![
        5 => (draft(), troubles()).prop_map(|(d, t)| Step::Apply(d, t)),
        2 => troubles().prop_map(Step::Poll),
        1 => Just(Step::Sweep),
    ]
}

fn build(draft: &Draft, id: String, revision: Revision) -> Change {
    let base = |behind: u64| revision.0.saturating_sub(behind);
    match draft {
        Draft::Files {
            first,
            second,
            cores,
            behind,
        } => {
            let names = [Some(*first), second.filter(|s| s != first)];
            let texts: Vec<_> = names
                .into_iter()
                .flatten()
                .map(|n| (NAMES[n], team(&format!("team-{n}"), *cores)))
                .collect();
            let list: Vec<_> = texts.iter().map(|(n, t)| (*n, Some(t.as_str()))).collect();
            files(&id, base(*behind), &list)
        }
        Draft::Remove { file, behind } => files(&id, base(*behind), &[(NAMES[*file], None)]),
        Draft::Domain { out } => domain(&id, "a", *out),
    }
}

fn fault(trouble: &Trouble, id: String, revision: Revision) -> Fault {
    match trouble {
        Trouble::Plain(1) => Fault::Refused,
        Trouble::Plain(2) => Fault::AnswerLost,
        Trouble::Plain(3) => Fault::RequestLost,
        Trouble::Plain(4) => Fault::Late(4),
        Trouble::Plain(5) => Fault::Stale(1),
        Trouble::Plain(6) => Fault::Stale(3),
        Trouble::Plain(_) => Fault::Fine,
        Trouble::Sweep(steps) => Fault::Sweep(*steps),
        Trouble::Race(draft) => Fault::Race(Box::new(build(draft, id, revision))),
    }
}

/// The heads that changed something, in the order in which they were written.
fn history(store: &Fake) -> Vec<Head> {
    let mut heads = store.heads();
    heads.dedup();
    heads
}

/// Each head is one change after the one before, and nothing ever goes back.
fn check_history(heads: &[Head]) -> Result<(), TestCaseError> {
    for pair in heads.windows(2) {
        let (before, after) = (&pair[0], &pair[1]);
        prop_assert_eq!(before.revision.next(), after.revision);
        prop_assert_eq!(&before.recent[..], &after.recent[..after.recent.len() - 1]);
        let change = after.last().expect("a change");
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

/// What an operator was told agrees with what happened.
fn check_result(
    heads: &[Head],
    change: &Change,
    result: &Result<ApplyOutcome, ApplyError>,
) -> Result<(), TestCaseError> {
    let made: Vec<usize> = (0..heads.len())
        .filter(|i| heads[*i].last().is_some_and(|a| a.change == change.id))
        .collect();
    prop_assert!(made.len() <= 1, "{} took effect twice", change.id);
    match result {
        Ok(outcome) if !outcome.unchanged => prop_assert_eq!(made.len(), 1, "{}", change.id),
        Ok(_) => prop_assert!(made.is_empty()),
        Err(ApplyError::Unknown(_)) => {}
        Err(e) => prop_assert!(
            made.is_empty(),
            "{} failed with {} but is in force",
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
        prop_assert_eq!(&after, &hash, "{} was applied in part", name);
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
    #![proptest_config(Runs {
        cases: 400,
        rng_seed: RngSeed::Fixed(20_261_205),
        failure_persistence: None,
        ..Runs::default()
    })]

    /// Guards against accepted changes that revert or get lost, files applied in
    /// part, results that disagree with the store, and readers that go back.
    #[test]
    fn racing_operators_lose_nothing(steps in prop::collection::vec(step(), 1..25)) {
        let store = Fake::default();
        let mut contents = ContentCache::default();
        let first = files("site", 0, &[("site.yaml", Some(SITE))]);
        apply(&store, &mut contents, &first, WallTime::ZERO).expect("the store is empty");
        let mut reader = ConfigReader::default();
        let mut results = Vec::new();
        let mut time = Time::ZERO;
        for (n, step) in steps.iter().enumerate() {
            time = time + crate::model::Span::from_secs(1_500);
            let revision = store.heads().last().map_or(Revision(0), |h| h.revision);
            let script = |list: &[Trouble]| {
                let fault = |(i, t)| fault(t, format!("race-{n}-{i}"), revision);
                store.script(list.iter().enumerate().map(fault));
            };
            match step {
                Step::Apply(draft, troubles) => {
                    let change = build(draft, format!("change-{n}"), revision);
                    script(troubles);
                    let result = apply(&store, &mut contents, &change, WallTime::ZERO);
                    results.push((change, result));
                }
                Step::Poll(troubles) => {
                    script(troubles);
                    let held = reader.config().revision;
                    let _ = reader.poll(&store, time);
                    prop_assert!(reader.config().revision >= held);
                }
                Step::Sweep => store.sweep(),
            }
            store.script([]);
            let loaded = load(&store, &mut ContentCache::default());
            prop_assert!(loaded.is_ok(), "the head names a missing content: {:?}", loaded.err());
        }
        store.settle();
        let heads = history(&store);
        check_history(&heads)?;
        results.extend(store.raced());
        for (change, result) in &results {
            check_result(&heads, change, result)?;
        }
        reader.poll(&store, time).expect("the store answers");
        prop_assert_eq!(Some(reader.config().revision), heads.last().map(|h| h.revision));
    }
}
