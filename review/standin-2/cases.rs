//! The cases. Each plays a deployment, with or without its disruption, and judges the rules.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::runner::{Job, Step};
use crate::wall_ms;
use crate::world::World;

/// Hosts of a small deployment, as the sheet says.
const HOSTS: usize = 7;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn play(case: &str, dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    match case {
        "backfill" => backfill(dir, trouble),
        "listing" => listing(dir, trouble),
        "cancel" => cancel(dir, trouble),
        "idle" => idle(dir, trouble),
        other => Err(format!("there is no case {other}")),
    }
}

fn job(spec: &str, steps: Vec<Step>) -> Job {
    Job {
        spec: spec.to_owned(),
        steps,
        schedule: None,
        max_attempts: 3,
    }
}

/// Three small jobs that run to their end, so that one job of four is cancelled at most.
fn run_small_jobs(world: &World) -> Result<(), String> {
    let step = Step {
        count: 4,
        cpu: 500,
        mem_mb: 256,
        estimate_ms: 300,
        spread: (0.9, 1.1),
        ..Step::default()
    };
    for id in ["00000000000000a1", "00000000000000a2", "00000000000000a3"] {
        if !world.submit("batch", id, job("small", vec![step.clone()])) {
            return Err("a small job was not accepted".to_owned());
        }
        world.await_end("batch", id, ms(5_000));
    }
    Ok(())
}

/// A job whose occurrences of the past ten days are due at once; the leader is killed while they
/// run, three times at most.
fn backfill(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(dir, HOSTS, 24, 64)?;
    let step = Step {
        count: 1,
        cpu: 1_000,
        mem_mb: 100,
        estimate_ms: 1_000,
        spread: (0.6, 1.4),
        ..Step::default()
    };
    let mut nightly = job("backfill", vec![step]);
    let minute = 60_000;
    let times = 14_400;
    nightly.schedule = Some((wall_ms() - minute * u64::from(times), minute, times));
    let id = "00c0ffee00c0ffee";
    if !world.submit("batch", id, nightly) {
        return Err("the job was not accepted".to_owned());
    }
    for _ in 0..3 {
        sleep(ms(5_000));
        let is_over = world.state("batch", id) == "completed";
        if trouble && !is_over {
            world.kill_leader(ms(3_500));
        }
    }
    let state = world.await_end("batch", id, ms(45_000));
    world.record.say(&format!("at the end: {state}"));
    sleep(ms(1_000));
    let breaks = world.record.judge(&world.jobs);
    world.end();
    Ok(breaks)
}

/// A large batch is cancelled.
fn cancel(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(dir, HOSTS, 6, 64)?;
    let step = |count, estimate_ms| Step {
        count,
        cpu: 100,
        mem_mb: 128,
        estimate_ms,
        spread: (0.9, 1.1),
        ..Step::default()
    };
    let id = "0badcafe00000001";
    sleep(ms(2_000));
    run_small_jobs(&world)?;
    if !world.submit("batch", id, job("batch", vec![step(3_800, 20_000)])) {
        return Err("the job was not accepted".to_owned());
    }
    sleep(ms(6_000));
    if trouble {
        match world.ask("DELETE", &format!("/batch/{id}"), "", 4) {
            Some((200..=299, _)) => world.record.cancelled(id),
            other => return Err(format!("the cancelling was answered {other:?}")),
        }
        sleep(ms(30_000));
    } else {
        world.await_end("batch", id, ms(60_000));
    }
    let breaks = world.record.judge(&world.jobs);
    world.end();
    Ok(breaks)
}

/// A batch is cancelled, and then the store turns away the host that leads.
fn idle(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    use crate::store::Link;
    let world = World::start(dir, HOSTS, 6, 64)?;
    sleep(ms(2_000));
    run_small_jobs(&world)?;
    let watch = Step {
        count: 12,
        cpu: 4_000,
        mem_mb: 1_000,
        estimate_ms: 300,
        long_running: true,
        max_per_server: 2,
        ..Step::default()
    };
    let watchers = "0badcafe00000001";
    if !world.submit("urgent", watchers, job("watchers", vec![watch])) {
        return Err("the job that lasts was not accepted".to_owned());
    }
    sleep(ms(2_000));
    let batch = Step {
        count: 420,
        cpu: 800,
        mem_mb: 256,
        estimate_ms: 30_000,
        spread: (0.9, 1.1),
        ..Step::default()
    };
    let id = "0badcafe00000002";
    if !world.submit("batch", id, job("batch", vec![batch])) {
        return Err("the batch was not accepted".to_owned());
    }
    sleep(ms(4_000));
    match world.ask("DELETE", &format!("/batch/{id}"), "", 4) {
        Some((200..=299, _)) => world.record.cancelled(id),
        other => return Err(format!("the cancelling was answered {other:?}")),
    }
    sleep(ms(5_000));
    if trouble && let Some(host) = world.store.leader() {
        world
            .record
            .say(&format!("the store leaves host {host} without answers"));
        world.store.set_link(host, Link::Silent);
        sleep(ms(7_000));
        world.store.set_link(host, Link::Fine);
        world
            .record
            .say(&format!("the store answers host {host} again"));
    }
    let calm = world.record.now();
    sleep(ms(30_000));
    let mut breaks = world.record.judge(&world.jobs);
    breaks.extend(world.record.absent(watchers, 12, calm));
    world.end();
    Ok(breaks)
}

/// The leader is killed while each runner has more than 500 small tasks at work.
fn listing(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(dir, HOSTS, 4, 96)?;
    let step = Step {
        count: 10_000,
        cpu: 100,
        mem_mb: 128,
        estimate_ms: 2_500,
        spread: (0.6, 0.9),
        ..Step::default()
    };
    let ids = ["0badcafe00000001", "0badcafe00000002"];
    for id in ids {
        if !world.submit("batch", id, job("batch", vec![step.clone()])) {
            return Err("a job was not accepted".to_owned());
        }
    }
    sleep(ms(4_500));
    if trouble {
        world.kill_leader(ms(3_500));
    }
    for id in ids {
        world.await_end("batch", id, ms(40_000));
    }
    sleep(ms(1_000));
    let breaks = world.record.judge(&world.jobs);
    world.end();
    Ok(breaks)
}
