//! The record of earlier leaders from one term to the next.

use super::simulation::leader_term;
use crate::dispatch::{EarlierLeader, EarlierLeaders, MAX_EARLIER_LEADERS, Succession};
use crate::model::{Span, Time};

fn listed(record: &Succession) -> Vec<(Option<u64>, u64)> {
    let entry = |l: &EarlierLeader| (l.term.map(|t| t.nonce), l.age.as_millis());
    record.earlier.iter().map(entry).collect()
}

fn entry(number: u64, seconds: u64) -> EarlierLeader {
    EarlierLeader {
        term: Some(leader_term(number)),
        age: Span::from_secs(seconds),
    }
}

/// Guards against losing the age of an earlier leader at a change, and against counting that
/// of the last one from its own election.
#[test]
fn the_next_term_continues_from_stored_ages() {
    let stored = Succession {
        nonce: 2,
        earlier: vec![entry(1, 9)],
    };
    let next = Succession::following(leader_term(2), false, Some(&stored), 3);
    assert_eq!(next.nonce, 3);
    assert_eq!(listed(&next), [(Some(1), 9_000), (Some(2), 0)]);
    let next = Succession::following(leader_term(2), true, Some(&stored), 3);
    assert_eq!(listed(&next), [(Some(1), 9_000)]);
}

/// Guards against trusting a record that the last leader did not write.
#[test]
fn a_record_of_another_term_tells_nothing() {
    let stored = Succession::empty(1);
    for stored in [Some(&stored), None] {
        let next = Succession::following(leader_term(2), true, stored, 3);
        assert_eq!(listed(&next), [(None, 0)]);
    }
}

/// Guards against a list that grows with each change, and against dropping a leader that
/// doesn't fit or taking a merged entry for older than the youngest leader in it.
#[test]
fn the_oldest_leaders_are_merged() {
    let mut record = Succession::empty(0);
    for number in 0..MAX_EARLIER_LEADERS as u64 + 2 {
        record = Succession::following(leader_term(number), false, Some(&record), number + 1);
        for leader in &mut record.earlier {
            leader.age = Span::from_micros(leader.age.as_micros() + 100_000);
        }
    }
    assert_eq!(record.earlier.len(), MAX_EARLIER_LEADERS);
    let oldest = MAX_EARLIER_LEADERS as u64 * 100;
    assert_eq!(
        listed(&record)[..2],
        [(None, oldest), (Some(3), oldest - 100)]
    );
}

/// Guards against ages that grow faster than time where the host's clock is fast, and
/// against keeping leaders that had to stop.
#[test]
fn ages_grow_slower_than_the_clock() {
    let began = Time::from_millis(500);
    let record = Succession {
        nonce: 3,
        earlier: vec![entry(1, 9), entry(2, 0)],
    };
    let leaders = EarlierLeaders::new(&record, began);
    let after = |seconds| leaders.at(began + Span::from_secs(seconds));
    let ages = |l: Vec<EarlierLeader>| l.iter().map(|l| l.age.as_millis()).collect::<Vec<_>>();
    assert_eq!(ages(after(0)), [9_000, 0]);
    assert_eq!(ages(after(5)), [13_900, 4_900]);
    assert_eq!(ages(after(7)), [15_860, 6_860]);
    assert_eq!(ages(after(8)), [7_840]);
    assert!(after(17).is_empty());
}
