//! A start that gets no answer and is carried out late, by the next life of its runner. In the
//! meantime its leader is killed, or not.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::nodes;
use crate::setup::{HOST, Setup, route};
use crate::world::{Job, Mode, Step};

/// The runner that leaves one order unanswered, and crashes later.
const PLACE: usize = 2;

/// How late the order is carried out: 2 to 12 s are allowed.
const LATE: Duration = Duration::from_millis(4_000);

/// Time from the order to the crash.
const CRASH_AFTER: Duration = Duration::from_millis(2_500);

/// The same if the leader is killed, and the time from the order to the kill.
const CRASH_AFTER_KILL: Duration = Duration::from_millis(4_000);
const LATE_KILL: Duration = Duration::from_millis(6_000);
const KILL_AFTER: Duration = Duration::from_millis(200);

/// How long the runner is down, at most 4.5 s.
const DOWN: Duration = Duration::from_millis(3_500);

/// How long the process of the leader is down.
const LEADER_DOWN: Duration = Duration::from_millis(3_500);

pub fn play(folder: &Path, trouble: bool, kills: bool) -> i32 {
    let mut setup = Setup::start(folder, 4, 8, 11, vec![route("/batch/", 2, 4, false), route("/fit/", 0, 4, false)]);
    let shared = setup.shared.clone();
    {
        // One runner is of another kind.
        let mut w = shared.lock();
        for (p, r) in w.runners.iter_mut().enumerate() {
            r.labels[0] = if p == PLACE { "b".into() } else { "a".into() };
        }
    }
    thread::sleep(Duration::from_secs(6));
    if trouble {
        let late = if kills { LATE_KILL } else { LATE };
        shared.lock().hold_next = Some((PLACE, late));
    }
    let step = Step { count: 24, cpu: 2_500, mem: 2_000, work_ms: 9_000, max_per_server: 4, ..Step::default() };
    let id = "00c0ffee00000002".to_owned();
    let job = Job { id: id.clone(), host: HOST.into(), prefix: "/batch/".into(), spec: "sound".into(), steps: vec![step], attempts: 4, ..Job::default() };
    shared.lock().jobs.insert(id.clone(), job.clone());
    let accepted = nodes::submit(&shared, &setup.fronts, &id, 4) == Some(200);
    // These need the kind of that runner, so that the batch task goes on elsewhere.
    let fit = "00c0ffee00000003".to_owned();
    let step = Step { count: 3, cpu: 2_500, mem: 2_000, work_ms: 12_000, requirements: "b".into(), ..Step::default() };
    let other = Job { id: fit.clone(), host: HOST.into(), prefix: "/fit/".into(), spec: "fit".into(), steps: vec![step], attempts: 4, ..Job::default() };
    shared.lock().jobs.insert(fit.clone(), other);
    nodes::submit(&shared, &setup.fronts, &fit, 4);
    let begin = Instant::now();
    let mut held = None;
    let mut crashed = false;
    let mut killed: Option<(usize, Instant)> = None;
    let mut state = String::new();
    let mut asked = begin;
    while accepted && begin.elapsed() < Duration::from_secs(60) && state != "completed" {
        thread::sleep(Duration::from_millis(5));
        let now = Instant::now();
        {
            let mut w = shared.lock();
            if held.is_none() && !w.held.is_empty() {
                held = Some(now);
            }
            let crash_after = if kills { CRASH_AFTER_KILL } else { CRASH_AFTER };
            if !crashed && held.is_some_and(|t| now.duration_since(t) >= crash_after) {
                crashed = true;
                w.crash(PLACE, Mode::Dead);
                w.runners[PLACE].until = Some(now + DOWN);
            }
            if w.runners[PLACE].until.is_some_and(|t| t <= now) {
                w.revive(PLACE, None);
            }
        }
        if kills && killed.is_none() && held.is_some_and(|t| now.duration_since(t) >= KILL_AFTER) {
            let leader = setup.leader();
            if let Some(i) = leader {
                setup.nodes[i].end();
                shared.lock().note(format!("the leader, node {i}, is killed"));
                killed = Some((i, now));
            }
        }
        if let Some((i, _)) = killed.filter(|(_, at)| now.duration_since(*at) >= LEADER_DOWN)
            && setup.nodes[i].child.is_none()
        {
            setup.nodes[i].start();
            shared.lock().note(format!("node {i} starts again"));
        }
        if now.duration_since(asked) >= Duration::from_secs(1) {
            asked = now;
            let got = nodes::ask(&job, setup.fronts[1]);
            if let Some((200, found)) = &got
                && *found != state
            {
                shared.lock().note(format!("state of {id}: {found}"));
                state.clone_from(found);
            }
        }
    }
    setup.end();
    let broken = !shared.lock().broken.is_empty();
    setup.write_record(&folder.join("record.txt"));
    match (broken, state.as_str()) {
        (true, _) => 1,
        (false, "completed") if !trouble || crashed => 0,
        _ => 2,
    }
}
