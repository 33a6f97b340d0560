use super::*;
use crate::model::{HostName, NodeName, Time};
use crate::peer::{ClaimKey, ClaimReply};
use crate::route::ClaimResult;

const RETENTION: Span = Span::from_secs(600);

fn key(text: &str) -> ClaimKey {
    ClaimKey {
        service: "booking".into(),
        key: text.into(),
    }
}

fn hosts(range: std::ops::Range<usize>) -> Vec<HostName> {
    range.map(|i| HostName::new(format!("h{i}"))).collect()
}

fn sets(range: std::ops::Range<usize>) -> HostSets {
    let mut sets = HostSets::new(RETENTION);
    sets.configure(Time::ZERO, hosts(range));
    sets
}

fn secs(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

/// A holder that no longer abstains.
fn holder() -> Holder {
    let mut holder = Holder::new(Time::ZERO, RETENTION);
    holder.set_abstains_until(Time::ZERO);
    holder
}

fn plan(groups: &[&[&str]]) -> ClaimPlan {
    let nodes = |g: &&[&str]| g.iter().map(|n| NodeName::from(*n)).collect();
    ClaimPlan {
        groups: groups.iter().map(nodes).collect(),
        sets: Vec::new(),
    }
}

/// Guards against holders that depend on the order of declaration, and against a new
/// host that changes more than one holder of a key.
#[test]
fn holders_are_stable() {
    let a = sets(0..7).plan(Time::ZERO, &key("k"));
    let mut reversed = HostSets::new(RETENTION);
    reversed.configure(Time::ZERO, hosts(0..7).into_iter().rev());
    assert_eq!(a, reversed.plan(Time::ZERO, &key("k")));
    assert_eq!(a.groups[0].len(), 3);
    // The new host becomes a holder of its part of the keys; the others do not change.
    let moved = (0..1_000).filter(|i| {
        let key = key(&i.to_string());
        let before = &sets(0..7).plan(Time::ZERO, &key).groups[0];
        let after = &sets(0..8).plan(Time::ZERO, &key).groups[0];
        let kept = after.iter().filter(|n| before.contains(n)).count();
        assert!(kept >= 2);
        kept == 2
    });
    let moved = moved.count();
    assert!((300..450).contains(&moved), "{moved} of about 375");
}

/// Guards against granting a key to two claimants, and against duplicate or late
/// messages that change the result.
#[test]
fn claim_and_release_are_idempotent() {
    let (mut holder, own) = (holder(), sets(0..3));
    let ids = own.plan(Time::ZERO, &key("k")).sets;
    let claim = |h: &mut Holder, who| h.claim(secs(1), &key("k"), who, &ids, &own);
    assert_eq!(claim(&mut holder, 1), ClaimReply::Granted);
    assert_eq!(claim(&mut holder, 1), ClaimReply::Granted);
    assert_eq!(claim(&mut holder, 2), ClaimReply::Held);
    holder.release(secs(1), &key("k"), 2);
    assert_eq!(claim(&mut holder, 2), ClaimReply::Held);
    holder.release(secs(1), &key("k"), 1);
    holder.release(secs(1), &key("k"), 1);
    assert_eq!(claim(&mut holder, 2), ClaimReply::Granted);
    // A duplicate release and a late claim of the first claimant change nothing.
    holder.release(secs(1), &key("k"), 1);
    assert_eq!(claim(&mut holder, 1), ClaimReply::Held);
    assert_eq!(claim(&mut holder, 2), ClaimReply::Granted);
}

/// Guards against a key that stays claimed because the claim arrived after its release.
#[test]
fn claim_after_its_release_is_not_granted() {
    let (mut holder, own) = (holder(), sets(0..3));
    let ids = own.plan(Time::ZERO, &key("k")).sets;
    holder.release(secs(1), &key("k"), 1);
    let late = holder.claim(secs(1), &key("k"), 1, &ids, &own);
    assert_eq!(late, ClaimReply::Abstained);
    let other = holder.claim(secs(1), &key("k"), 2, &ids, &own);
    assert_eq!(other, ClaimReply::Granted);
}

/// Guards against granting a key whose claim was lost by a restart, and against claims
/// that never expire.
#[test]
fn holder_abstains_after_start_and_drops_expired_claims() {
    let own = sets(0..3);
    let ids = own.plan(Time::ZERO, &key("k")).sets;
    let mut holder = Holder::new(secs(1), RETENTION);
    let mut claim = |at, who| holder.claim(secs(at), &key("k"), who, &ids, &own);
    assert_eq!(claim(600, 1), ClaimReply::Abstained);
    assert_eq!(claim(601, 1), ClaimReply::Granted);
    assert_eq!(claim(1_200, 2), ClaimReply::Held);
    assert_eq!(claim(1_201, 2), ClaimReply::Granted);
}

/// Guards against unbounded memory, and against a table that stays full.
#[test]
fn memory_is_bounded() {
    let own = sets(0..3);
    let ids = own.plan(Time::ZERO, &key("k")).sets;
    let mut holder = Holder::with_capacity(Time::ZERO, RETENTION, 10);
    holder.set_abstains_until(Time::ZERO);
    for i in 0..1_000u128 {
        let answer = holder.claim(secs(1), &key(&i.to_string()), i, &ids, &own);
        assert_eq!(answer == ClaimReply::Granted, i < 10);
        holder.release(secs(1), &key(&i.to_string()), i);
    }
    assert_eq!(holder.state(secs(1)).claims, 10);
    let answer = holder.claim(secs(601), &key("k"), 1, &ids, &own);
    assert_eq!(answer, ClaimReply::Granted);
    assert_eq!(holder.state(secs(601)).claims, 1);
}

/// Guards against disjoint majorities after a change of the host set.
#[test]
fn change_of_hosts_needs_both_majorities_until_retention_ends() {
    let mut sets = sets(0..3);
    sets.configure(secs(100), hosts(3..6));
    assert_eq!(sets.plan(secs(699), &key("k")).groups.len(), 2);
    assert_eq!(sets.plan(secs(700), &key("k")).groups.len(), 1);
    // The first set is configured again, and the one in between is still relevant.
    sets.configure(secs(200), hosts(0..3));
    assert_eq!(sets.plan(secs(750), &key("k")).groups.len(), 2);
    assert_eq!(sets.plan(secs(800), &key("k")).groups.len(), 1);
}

/// Guards against granting the claim of a process that started after a change of the
/// host set and knows only the new set.
#[test]
fn holder_abstains_if_claimant_does_not_know_a_set() {
    let mut own = sets(0..3);
    own.configure(secs(100), hosts(0..4));
    let fresh = sets(0..4).plan(secs(100), &key("k")).sets;
    let mut holder = holder();
    let mut claim = |at, ids: &[HostSetId]| holder.claim(secs(at), &key("k"), 1, ids, &own);
    assert_eq!(claim(200, &fresh), ClaimReply::Abstained);
    assert_eq!(claim(700, &fresh), ClaimReply::Granted);
}

/// Guards against a wrong result for any combination of answers.
#[test]
fn claimant_decides_by_majority() {
    use ClaimReply::{Abstained, Granted, Held};
    let cases = [
        (
            vec![Some(Granted), Some(Granted)],
            Some(ClaimResult::Granted),
        ),
        (vec![Some(Granted), None], None),
        (
            vec![Some(Granted), None, Some(Granted)],
            Some(ClaimResult::Granted),
        ),
        (
            vec![Some(Granted), None, None],
            Some(ClaimResult::Unavailable),
        ),
        (vec![Some(Held), Some(Held)], Some(ClaimResult::Held)),
        (vec![Some(Held), Some(Granted)], None),
        (
            vec![Some(Held), Some(Granted), Some(Granted)],
            Some(ClaimResult::Granted),
        ),
        (vec![Some(Held), Some(Abstained)], None),
        (
            vec![Some(Held), Some(Abstained), Some(Held)],
            Some(ClaimResult::Held),
        ),
        (
            vec![Some(Held), Some(Abstained), Some(Granted)],
            Some(ClaimResult::Unavailable),
        ),
        (
            vec![Some(Abstained), Some(Abstained)],
            Some(ClaimResult::Unavailable),
        ),
    ];
    for (answers, result) in cases {
        let mut claimant = Claimant::new(1, plan(&[&["a", "b", "c"]]), secs(1));
        let mut last = None;
        for (node, answer) in ["a", "b", "c"].iter().zip(&answers) {
            last = claimant.answered(&NodeName::from(*node), *answer);
        }
        assert_eq!(last, result, "{answers:?}");
        assert_eq!(
            claimant.poll(secs(1)),
            result.or(Some(ClaimResult::Unavailable))
        );
    }
}

/// Guards against a grant by one majority when two are needed, and by an empty plan.
#[test]
fn claimant_needs_each_group() {
    let granted = Some(ClaimReply::Granted);
    let mut claimant = Claimant::new(1, plan(&[&["a", "b", "c"], &["c", "d", "e"]]), secs(1));
    assert_eq!(claimant.targets().len(), 5);
    assert_eq!(claimant.answered(&"a".into(), granted), None);
    assert_eq!(claimant.answered(&"a".into(), granted), None);
    assert_eq!(claimant.answered(&"c".into(), granted), None);
    assert_eq!(claimant.answered(&"x".into(), granted), None);
    assert_eq!(
        claimant.answered(&"e".into(), granted),
        Some(ClaimResult::Granted)
    );
    assert_eq!(
        claimant.answered(&"d".into(), None),
        Some(ClaimResult::Granted)
    );

    let mut none = Claimant::new(1, plan(&[]), secs(1));
    assert_eq!(none.poll(secs(0)), Some(ClaimResult::Unavailable));
}

/// Guards against disjoint majorities when a partitioned process keeps claiming under a
/// host set that was replaced on the other side.
#[test]
fn partitioned_claimant_stops_before_its_set_is_dropped() {
    let lifetime = Span::from_secs(600);
    let changed = 1_000;
    let mut connected = HostSets::new(former_set_retention(lifetime));
    connected.configure(Time::ZERO, hosts(0..3));
    connected.configure(secs(changed), hosts(3..6));
    for claimed in changed..changed + 2_000 {
        // The last read that did not return the change started when it was made.
        let age = secs(claimed).since(secs(changed));
        if may_claim(Some(age), lifetime) {
            let retried = secs(claimed) + lifetime;
            assert_eq!(connected.plan(retried, &key("k")).groups.len(), 2);
        }
    }
    assert!(!may_claim(Some(lifetime + Span::from_micros(1)), lifetime));
    assert!(!may_claim(None, lifetime));
}
