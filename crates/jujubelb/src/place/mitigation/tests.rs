use super::*;
use crate::model::{JobName, Resources, TaskId};

fn second(s: u64) -> Time {
    Time::from_millis(s * 1_000)
}

/// Processes one report a second, each 5 s old.
fn feed(
    state: &mut MitigationState,
    seconds: std::ops::Range<u64>,
    slowdown: f64,
) -> Vec<(u64, Mitigation)> {
    seconds
        .filter_map(|s| {
            let measured = second(s) - Span::from_secs(5);
            Some((s, state.observe(second(s), measured, slowdown, 0.2)?))
        })
        .collect()
}

/// Guards against evictions where throttling would have been enough.
#[test]
fn throttling_precedes_eviction() {
    let mut state = MitigationState::default();
    let mitigations = feed(&mut state, 100..130, 0.5);
    assert_eq!(mitigations[0], (101, Mitigation::Throttle));
    assert_eq!(mitigations[1].1, Mitigation::Evict);
    assert!(
        mitigations[1].0 >= 101 + 7,
        "eviction only after the effect of throttling is visible"
    );
}

/// Guards against steps after single noisy reports. Every fourth report is 2.5 times the
/// allowed slowdown while their mean stays below it.
#[test]
fn single_reports_cause_no_step() {
    let mut state = MitigationState::default();
    assert_eq!(feed(&mut state, 100..110, 0.0), []);
    for s in 110..150 {
        let slowdown = if s % 4 == 0 { 0.5 } else { 0.0 };
        assert_eq!(feed(&mut state, s..s + 1, slowdown), []);
    }
}

/// Guards against limits that oscillate with the reports.
#[test]
fn repeated_throttling_lasts_longer_each_time() {
    let mut state = MitigationState::default();
    let mut now = 100;
    let mut waits = Vec::new();
    for _ in 0..4 {
        let throttled = feed(&mut state, now..now + 20, 0.5)[0];
        assert_eq!(throttled.1, Mitigation::Throttle);
        state.next_step = second(throttled.0 + 7);
        let unthrottled = feed(&mut state, throttled.0 + 1..throttled.0 + 200, 0.0)[0];
        assert_eq!(unthrottled.1, Mitigation::Unthrottle);
        waits.push(unthrottled.0 - throttled.0);
        now = unthrottled.0 + 8;
        state.next_step = second(now);
    }
    assert!(waits.is_sorted() && waits[3] >= 2 * waits[0], "{waits:?}");
}

/// Guards against evicting tasks with more progress than necessary.
#[test]
fn least_progress_is_lost_first() {
    let candidate = |index: u32, lost: u64, cores: u64| EvictionCandidate {
        task: TaskId {
            job: JobName::from("job"),
            index,
        },
        limit: Resources::new(cores * 1_000, 0, 0),
        lost_time: Span::from_secs(lost),
    };
    let all = vec![
        candidate(0, 600, 1),
        candidate(1, 10, 4),
        candidate(2, 5, 2),
    ];
    let taken = cheapest(all, |taken| taken.len() == 2);
    let order: Vec<_> = taken.iter().map(|c| c.task.index).collect();
    assert_eq!(order, [2, 1]);
}
