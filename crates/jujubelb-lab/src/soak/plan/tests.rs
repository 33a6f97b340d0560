use std::time::Duration;

use super::{
    CUT_TIME, Fault, LATE_BEFORE_CRASH, Peers, Planned, Target, draw, has_bursts, has_customers,
    has_faults, max_lease,
};
use crate::emulator::http::Treatment;
use crate::emulator::worker::{LONGER_MAX_LEASE, MAX_LEASE};

const END: Duration = Duration::from_secs(30);

fn peers(planned: &Planned) -> Option<Peers> {
    match planned.fault {
        Fault::SilentConnections(peers) | Fault::SilentAtEnd(peers) => Some(peers),
        _ => None,
    }
}

/// Guards against seeds whose silences come alone, and never at an election or a stored end.
#[test]
fn silences_come_in_series_beside_bursts_and_kills() {
    let plans: Vec<_> = (30_000..30_020).map(|s| draw(s, 3, 6, END)).collect();
    assert!((30_000..30_020).all(|s| has_bursts(s) && has_faults(s)));
    for plan in &plans {
        let times: Vec<_> = plan.iter().filter(|p| peers(p).is_some()).collect();
        let first = times.first().unwrap().at;
        let soon = |p: &&&Planned| p.at < first + Duration::from_secs(4);
        assert!(times.iter().filter(soon).count() >= 3, "{plan:?}");
    }
    let has = |matches: &dyn Fn(&Planned) -> bool| plans.iter().flatten().any(matches);
    assert!(has(&|p| peers(p).is_some_and(Peers::include_hosts)));
    assert!(has(&|p| peers(p).is_some_and(Peers::include_store)));
    assert!(has(&|p| matches!(p.fault, Fault::SilentAtEnd(_))));
    let at_kill = |plan: &Vec<Planned>| {
        let kills = |p: &&Planned| p.fault == Fault::Kill(Target::Leader);
        let mut silences = plan.iter().filter(|p| peers(p).is_some());
        let kill = plan.iter().find(kills);
        kill.is_some_and(|k| silences.any(|s| s.at == k.at))
    };
    assert!(plans.iter().any(at_kill));
}

/// Guards against rounds that play no late call to a restarted worker, or in which the worker does
/// not keep what runs there after a change of the leader; and against changes of other seeds.
#[test]
fn workers_restart_before_the_leader_is_killed_and_they_are_cut_off() {
    let end = Duration::from_secs(60);
    let mut kills = 0;
    for seed in 40_000..40_020 {
        let plan = draw(seed, 3, 6, end);
        let restart = |p: &Planned| match p.fault {
            Fault::WorkerRestart(worker, late) => Some((worker, late, p.at, p.time)),
            _ => None,
        };
        let restarts: Vec<_> = plan.iter().filter_map(restart).collect();
        assert!((4..=6).contains(&restarts.len()), "{plan:?}");
        for (worker, late, at, down) in restarts {
            assert!(late > down, "{plan:?}");
            let crash = at + LATE_BEFORE_CRASH;
            let since = |p: &Planned| p.at.checked_sub(crash).map(|d| d.as_millis());
            let cut = Fault::WorkerLink(worker, Treatment::Silence, 1.0);
            let cut_off = |p: &&Planned| {
                p.fault == cut && p.time == CUT_TIME && since(p).is_some_and(|t| t < 2_600)
            };
            assert!(plan.iter().any(|p| cut_off(&p)), "{plan:?}");
        }
        kills += plan
            .iter()
            .filter(|p| p.fault == Fault::Kill(Target::Leader))
            .count();
    }
    assert!((10..40).contains(&kills), "{kills} kills");
    assert!((40_000..40_020).all(|s| has_bursts(s) && has_faults(s)));
    let longer = (40_000..40_020).filter(|&s| max_lease(s) == LONGER_MAX_LEASE);
    assert_eq!(longer.count(), 10);
    for seed in [1, 10_001, 20_001, 30_001, 39_999] {
        let plan = draw(seed, 3, 6, end);
        let restarts = |p: &Planned| matches!(p.fault, Fault::WorkerRestart(..));
        assert!(!plan.iter().any(restarts) && max_lease(seed) == MAX_LEASE);
    }
}

/// Guards against a series in which keys and limits only change while nothing is disturbed, and
/// against changes of other seeds.
#[test]
fn configurations_change_while_hosts_are_cut_off_and_leaders_change() {
    let plans: Vec<_> = (50_000..50_020).map(|s| draw(s, 3, 6, END)).collect();
    assert!((50_000..50_020).all(|s| has_customers(s) && has_faults(s) && !has_bursts(s)));
    let beside_change = |plan: &Vec<Planned>, matches: &dyn Fn(&Fault) -> bool| {
        let changes = || plan.iter().filter(|p| p.fault == Fault::Change);
        let mut faults = plan.iter().filter(|p| matches(&p.fault));
        faults.any(|f| changes().any(|c| c.at >= f.at && c.at <= f.at + f.time))
    };
    let count = |matches: &dyn Fn(&Fault) -> bool| {
        let with = plans.iter().filter(|plan| beside_change(plan, matches));
        with.count()
    };
    assert!(count(&|f| matches!(f, Fault::StoreLink(..))) >= 4);
    assert!(count(&|f| matches!(f, Fault::WorkerLink(..))) >= 4);
    assert!(count(&|f| *f == Fault::Kill(Target::Leader)) >= 8);
    let leaders_in_a_row = |plan: &&Vec<Planned>| {
        let ends = |f| {
            matches!(
                f,
                Fault::Kill(Target::Leader) | Fault::Pause(Target::Leader)
            )
        };
        let times: Vec<_> = plan.iter().filter(|p| ends(p.fault)).collect();
        let mut rows = times.windows(3);
        rows.any(|row| row[2].at < row[0].at + Duration::from_secs(9))
    };
    assert!(plans.iter().filter(leaders_in_a_row).count() >= 4);
    let changes = |p: &Planned| p.fault == Fault::Change;
    for seed in [1, 10_001, 20_001, 30_001, 40_001, 49_999] {
        assert!(!has_customers(seed) && !draw(seed, 3, 6, END).iter().any(changes));
    }
}
