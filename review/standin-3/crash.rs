//! A sound task, and a runner that crashes shortly after it has started it, three times.

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::nodes;
use crate::setup::{HOST, Setup, route};
use crate::world::{Job, Mode, Step};

/// How long after the start of the task its runner crashes.
const AFTER: Duration = Duration::from_millis(300);

/// How long the runner is down, as the site file says.
const DOWN: Duration = Duration::from_millis(4_500);

const CRASHES: usize = 3;

pub fn play(folder: &Path, trouble: bool) -> i32 {
    let mut setup = Setup::start(folder, 4, 8, 11, vec![route("/batch/", 2, 4, false)]);
    let shared = setup.shared.clone();
    thread::sleep(Duration::from_secs(6));
    let id = "00c0ffee00000001".to_owned();
    let step = Step { count: 6, cpu: 4_000, mem: 4_000, work_ms: 3_000, ..Step::default() };
    let job = Job { id: id.clone(), host: HOST.into(), prefix: "/batch/".into(), spec: "sound".into(), steps: vec![step], attempts: 4, ..Job::default() };
    shared.lock().jobs.insert(id.clone(), job.clone());
    let accepted = nodes::submit(&shared, &setup.fronts, &id, 4) == Some(200);
    let task = format!("{id}.0.0.0");
    let begin = Instant::now();
    let mut crashes = 0;
    let mut state = String::new();
    let mut asked = begin;
    while accepted && begin.elapsed() < Duration::from_secs(95) && state != "failed" && state != "completed" {
        thread::sleep(Duration::from_millis(10));
        let now = Instant::now();
        {
            let mut w = shared.lock();
            for p in 0..w.runners.len() {
                if w.runners[p].until.is_some_and(|t| t <= now) {
                    w.revive(p, None);
                }
            }
            let all_up = w.runners.iter().all(|r| r.mode == Mode::Up);
            let due = |x: &crate::world::Run| x.task == task && now.duration_since(x.began) >= AFTER;
            let at = w.runners.iter().position(|r| r.mode == Mode::Up && r.runs.iter().any(due));
            if let Some(p) = at.filter(|_| trouble && all_up && crashes < CRASHES) {
                crashes += 1;
                w.crash(p, Mode::Dead);
                w.runners[p].until = Some(now + DOWN);
            }
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
    let mut w = shared.lock();
    let failed: u64 = (0..6).map(|i| w.failed_runs(&format!("{id}.0.0.{i}"))).sum();
    w.note(format!("{crashes} crashes, {failed} runs ended failed, the job is {state:?}"));
    if state == "failed" && failed == 0 {
        w.breaks(format!("LOST {id} is shown as failed, and none of its runs has ended failed"));
    }
    let broken = !w.broken.is_empty();
    drop(w);
    setup.write_record(&folder.join("record.txt"));
    match (broken, state.as_str()) {
        (true, _) => 1,
        (false, "completed") => 0,
        _ => 2,
    }
}
