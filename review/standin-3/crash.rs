//! Runners crash at regular times, each time others, drawn without regard to what they run. No
//! run of any task ever ends failed.

use std::collections::HashMap;
use std::path::Path;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use crate::nodes;
use crate::setup::{HOST, Setup, route};
use crate::world::{Job, Mode, Shared, Step};

const RUNNERS: usize = 48;

/// Runners that crash together: 0.125 of them.
const TOGETHER: usize = 6;

/// Time between two crashes, and for how long the runners are down. All are up in between.
const EVERY: Duration = Duration::from_millis(1_200);
const DOWN: Duration = Duration::from_millis(600);

const LENGTH: Duration = Duration::from_secs(75);

/// Time between two jobs.
const GAP: Duration = Duration::from_millis(120);

fn draw_job(shared: &Arc<Shared>, number: u64) -> Job {
    let mut w = shared.lock();
    let step = |w: &mut crate::world::World, after: Vec<usize>| Step {
        count: 2 + w.random(9),
        cpu: 1_500 + w.random(3_000),
        mem: 2_000,
        work_ms: 400 + w.random(1_600),
        after,
        ..Step::default()
    };
    let steps = vec![step(&mut w, vec![]), step(&mut w, vec![0])];
    let id = format!("c0ffee00{number:08x}");
    let job = Job { id: id.clone(), host: HOST.into(), prefix: "/batch/".into(), spec: "sound".into(), steps, attempts: 4, ..Job::default() };
    w.jobs.insert(id, job.clone());
    job
}

/// Hands jobs in, one after the other.
fn submit_all(shared: &Arc<Shared>, fronts: &[std::net::SocketAddr], jobs: &Receiver<String>) {
    for (k, id) in jobs.iter().enumerate() {
        let mut fronts = fronts.to_vec();
        let count = fronts.len();
        fronts.rotate_left(k % count);
        nodes::submit(shared, &fronts, &id, 4);
    }
}

pub fn play(folder: &Path, trouble: bool) -> i32 {
    let seed = u64::from(std::process::id());
    let mut setup = Setup::start(folder, 4, RUNNERS, seed, vec![route("/batch/", 2, 4, false)]);
    let shared = setup.shared.clone();
    thread::sleep(Duration::from_secs(6));
    let senders: Vec<Sender<String>> = (0..4)
        .map(|_| {
            let (sender, jobs) = channel();
            let (shared, fronts) = (shared.clone(), setup.fronts.clone());
            thread::spawn(move || submit_all(&shared, &fronts, &jobs));
            sender
        })
        .collect();
    let begin = Instant::now();
    let mut next_crash = begin + Duration::from_secs(3);
    let mut next_job = begin;
    let mut number = 0;
    while begin.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(5));
        let now = Instant::now();
        if now >= next_job && begin.elapsed() + Duration::from_secs(3) < LENGTH {
            next_job += GAP;
            let job = draw_job(&shared, number);
            number += 1;
            let _ = senders[number as usize % senders.len()].send(job.id);
        }
        let mut w = shared.lock();
        for p in 0..RUNNERS {
            if w.runners[p].until.is_some_and(|t| t <= now) {
                w.revive(p, None);
            }
        }
        if trouble && now >= next_crash {
            next_crash += EVERY;
            let mut left = TOGETHER;
            while left > 0 {
                let p = w.random(RUNNERS as u64) as usize;
                if w.runners[p].mode == Mode::Up {
                    w.crash(p, Mode::Dead);
                    w.runners[p].until = Some(now + DOWN);
                    left -= 1;
                }
            }
        }
    }
    drop(senders);
    {
        let mut w = shared.lock();
        for p in 0..RUNNERS {
            if w.runners[p].mode != Mode::Up {
                w.revive(p, None);
            }
        }
    }
    thread::sleep(Duration::from_secs(3));
    let jobs: Vec<Job> = shared.lock().jobs.values().filter(|j| j.accepted.is_some()).cloned().collect();
    let mut states: HashMap<String, u64> = HashMap::new();
    for (k, job) in jobs.iter().enumerate() {
        let got = nodes::ask(job, setup.fronts[k % setup.fronts.len()]);
        let Some((200, state)) = got else {
            *states.entry("no answer".into()).or_default() += 1;
            continue;
        };
        if state == "failed" {
            let mut w = shared.lock();
            let tasks = (0..2).flat_map(|s| (0..job.steps[s].count).map(move |i| format!("{}.0.{s}.{i}", job.id)));
            let failed: u64 = tasks.map(|t| w.failed_runs(&t)).sum();
            if failed == 0 {
                w.breaks(format!("LOST {} is shown as failed, and none of its runs has ended failed", job.id));
            }
        }
        *states.entry(state).or_default() += 1;
    }
    setup.end();
    let mut w = shared.lock();
    w.note(format!("{} jobs were accepted; their states at the end: {states:?}", jobs.len()));
    let broken = w.broken.iter().any(|b| b.contains("LOST"));
    let completed = states.get("completed").copied().unwrap_or(0) as usize;
    drop(w);
    setup.write_record(&folder.join("record.txt"));
    match (broken, completed * 2 > jobs.len() && !jobs.is_empty()) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    }
}
