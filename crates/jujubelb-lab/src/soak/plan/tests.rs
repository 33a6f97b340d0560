use std::time::Duration;

use super::{Fault, Peers, Planned, Target, draw, has_bursts, has_faults};

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
