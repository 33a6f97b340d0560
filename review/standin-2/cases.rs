//! The cases. Each plays a deployment, with or without its disruption, and judges the rules.

use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::runner::{Job, Step};
use crate::wall_ms;
use crate::world::World;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn play(case: &str, dir: &Path, trouble: bool, seed: u64) -> Result<Vec<String>, String> {
    match case {
        "backfill" => backfill(dir, trouble),
        "listing" => listing(dir, trouble),
        "outage" => outage(dir, trouble),
        "backfill-outage" => backfill_outage(dir, trouble),
        "cancel" => cancel(dir, trouble),
        "idle" => idle(dir, trouble),
        "gangs" => gangs(dir, seed),
        "mix" => mix(dir, trouble, seed),
        other => Err(format!("there is no case {other}")),
    }
}

fn job(spec: &str, steps: Vec<Step>) -> Job {
    Job {
        spec: spec.to_owned(),
        steps,
        schedule: None,
        max_attempts: 3,
        service: "svc".to_owned(),
        advice: false,
    }
}

/// A job whose occurrences of the past ten days are due at once; the leader is killed while they
/// run, three times at most.
fn backfill(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(dir, 4, 24, 64, None)?;
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
    let world = World::start(dir, 4, 6, 64, None)?;
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
    let world = World::start(dir, 4, 6, 64, None)?;
    sleep(ms(2_000));
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
        world.record.say(&format!("the store leaves host {host} without answers"));
        world.store.set_link(host, Link::Silent);
        sleep(ms(7_000));
        world.store.set_link(host, Link::Fine);
        world.record.say(&format!("the store answers host {host} again"));
    }
    let calm = world.record.now();
    sleep(ms(30_000));
    let mut breaks = world.record.judge(&world.jobs);
    breaks.extend(world.record.absent(watchers, 12, calm));
    world.end();
    Ok(breaks)
}

/// The same job while the store is down and its leases run out.
fn backfill_outage(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    use crate::store::Link;
    let world = World::start(dir, 4, 24, 64, None)?;
    sleep(ms(4_000));
    let step = Step {
        count: 1,
        cpu: 1_000,
        mem_mb: 100,
        estimate_ms: 1_000,
        spread: (0.6, 3.0),
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
    sleep(ms(3_000));
    if trouble {
        world.record.say("the store is down, and its leases run out");
        world.store.set_links(Link::Busy);
        sleep(ms(4_500));
        world.store.set_links(Link::Fine);
        world.record.say("the store is back");
    }
    let state = world.await_end("batch", id, ms(60_000));
    world.record.say(&format!("at the end: {state}"));
    sleep(ms(1_000));
    let breaks = world.record.judge(&world.jobs);
    world.end();
    Ok(breaks)
}

/// The leader is killed while each runner has more than 500 small tasks at work.
fn listing(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    let world = World::start(dir, 4, 4, 96, None)?;
    let step = Step {
        count: 10_000,
        cpu: 100,
        mem_mb: 128,
        estimate_ms: 2_500,
        spread: (0.6, 0.9),
        ..Step::default()
    };
    let id = "0badcafe00000001";
    if !world.submit("batch", id, job("batch", vec![step])) {
        return Err("the job was not accepted".to_owned());
    }
    sleep(ms(4_500));
    if trouble {
        world.kill_leader(ms(3_500));
    }
    world.await_end("batch", id, ms(40_000));
    sleep(ms(1_000));
    let breaks = world.record.judge(&world.jobs);
    world.end();
    Ok(breaks)
}

/// Batches of small tasks go on while the store is down and its leases run out.
fn outage(dir: &Path, trouble: bool) -> Result<Vec<String>, String> {
    use crate::store::Link;
    let world = World::start(dir, 4, 4, 64, None)?;
    let step = Step {
        count: 1_000,
        cpu: 500,
        mem_mb: 256,
        estimate_ms: 900,
        spread: (0.6, 1.0),
        ..Step::default()
    };
    sleep(ms(6_000));
    let ids: Vec<String> = (0..8).map(|n| format!("0badcafe0000000{n}")).collect();
    for id in &ids {
        if !world.submit("batch", id, job("batch", vec![step.clone()])) {
            return Err("a job was not accepted".to_owned());
        }
    }
    sleep(ms(1_000));
    if trouble {
        world.record.say("the store is down, and its leases run out");
        world.store.set_links(Link::Busy);
        sleep(ms(4_500));
        world.store.set_links(Link::Fine);
        world.record.say("the store is back");
    }
    for id in &ids {
        world.await_end("batch", id, ms(40_000));
    }
    sleep(ms(1_000));
    let breaks = world.record.judge(&world.jobs);
    world.end();
    Ok(breaks)
}

/// A generator of numbers from a seed.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        crate::runner::chance(&format!("{:x}", self.0))
    }

    fn below(&mut self, n: u64) -> u64 {
        (self.next() * n as f64) as u64
    }

    fn is(&mut self, share: f64) -> bool {
        self.next() < share
    }
}

fn random_job(d: &mut Draw, n: u64) -> (&'static str, Job) {
    let queue = ["urgent", "batch", "policy"][d.below(3) as usize];
    let steps = 1 + d.below(3) as usize;
    let mut list: Vec<Step> = Vec::new();
    for i in 0..steps {
        let gang = d.is(0.45);
        let per_server = if d.is(0.3) { 1 + d.below(2) as u32 } else { 0 };
        let count = 1 + d.below(8) as u32;
        let few = gang && per_server > 0;
        list.push(Step {
            count: if few { count.min(2) } else { count },
            cpu: 500 + 500 * d.below(6),
            mem_mb: 100 + 500 * d.below(4),
            estimate_ms: 200 + d.below(2_500),
            after: if i > 0 && d.is(0.7) { vec![i - 1] } else { vec![] },
            gang,
            max_per_server: per_server,
            requirements: if d.is(0.25) && queue != "policy" { ["a", "b"][d.below(2) as usize].to_owned() } else { String::new() },
            spread: (0.5, 1.5),
            fails: if d.is(0.2) { 0.2 } else { 0.0 },
            ..Step::default()
        });
    }
    let mut j = job(&format!("job {n}"), list);
    j.advice = queue == "policy";
    if d.is(0.25) {
        j.schedule = Some((wall_ms() + d.below(1_500), 300 + d.below(1_500), 2 + d.below(6) as u32));
    }
    (queue, j)
}

/// Random jobs with random disruptions; to look for faults.
fn mix(dir: &Path, trouble: bool, seed: u64) -> Result<Vec<String>, String> {
    use crate::runner::Link as Path_;
    use crate::store::Link;
    let world = World::start(dir, 4, 16, 16, Some((40, 2)))?;
    let mut d = Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) + 1);
    let sent = std::sync::Arc::new(std::sync::Mutex::new(Vec::new()));
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut clients = Vec::new();
    for c in 0..4u64 {
        let (world, sent, over) = (world.clone(), sent.clone(), over.clone());
        let mut d = Draw(seed * 31 + c + 7);
        clients.push(std::thread::spawn(move || {
            let mut n = 0;
            while !over.load(std::sync::atomic::Ordering::SeqCst) {
                n += 1;
                let (queue, j) = random_job(&mut d, c * 10_000 + n);
                let id = format!("{:08x}{:08x}", seed as u32, (c * 10_000 + n) as u32);
                if world.submit(queue, &id, j) {
                    if d.is(0.1) {
                        sleep(ms(d.below(1_500)));
                        world.ask("DELETE", &format!("/{queue}/{id}"), "", 4);
                    } else {
                        sent.lock().unwrap().push((queue, id));
                    }
                }
                sleep(ms(100 + d.below(400)));
            }
        }));
    }
    let began = std::time::Instant::now();
    while began.elapsed() < ms(40_000) {
        sleep(ms(500 + d.below(3_500)));
        if !trouble {
            continue;
        }
        let what = d.below(10);
        world.record.say(&format!("trouble {what}"));
        let host = match world.store.leader() {
            Some(h) if d.is(0.7) => h,
            _ => d.below(4) as usize,
        };
        let runner = world.runners[d.below(16) as usize].clone();
        match what {
            0 | 1 => {
                world.kill_leader(ms(200 + d.below(3_000)));
            }
            2 => {
                let w = world.clone();
                let t = 500 + d.below(4_000);
                world.signal(host, crate::world::STOP);
                std::thread::spawn(move || {
                    sleep(ms(t));
                    w.signal(host, crate::world::CONT);
                });
            }
            3 => {
                let link = [Link::Silent, Link::Reset, Link::Busy, Link::Lost][d.below(4) as usize];
                let t = 1_000 + d.below(5_000);
                world.store.set_link(host, link);
                let w = world.clone();
                std::thread::spawn(move || {
                    sleep(ms(t));
                    w.store.set_link(host, Link::Fine);
                });
            }
            4 => {
                let link = [Link::Silent, Link::Reset, Link::Busy, Link::Slow(240)][d.below(4) as usize];
                let t = 1_000 + d.below(4_000);
                world.store.set_links(link);
                let w = world.clone();
                std::thread::spawn(move || {
                    sleep(ms(t));
                    w.store.set_links(Link::Fine);
                });
            }
            5 | 6 => {
                let w = world.clone();
                let t = 50 + d.below(3_000);
                runner.crash();
                std::thread::spawn(move || {
                    sleep(ms(t));
                    runner.start(&w.store);
                });
            }
            7 => {
                let t = 1_000 + d.below(8_000);
                *crate::runner::lock(&runner.link) = Path_::Cut;
                std::thread::spawn(move || {
                    sleep(ms(t));
                    *crate::runner::lock(&runner.link) = Path_::Fine;
                });
            }
            _ => {
                let link = if d.is(0.6) { Path_::Late(0.3) } else { Path_::Lost(0.3) };
                let some: Vec<_> = world.runners.iter().filter(|_| d.is(0.4)).cloned().collect();
                for r in &some {
                    *crate::runner::lock(&r.link) = link;
                }
                let t = 1_000 + d.below(3_000);
                std::thread::spawn(move || {
                    sleep(ms(t));
                    for r in &some {
                        *crate::runner::lock(&r.link) = Path_::Fine;
                    }
                });
            }
        }
    }
    sleep(ms(9_000));
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    for c in clients {
        let _ = c.join();
    }
    let until = std::time::Instant::now() + ms(40_000);
    let all = sent.lock().unwrap().clone();
    for (queue, id) in &all {
        let left = until.saturating_duration_since(std::time::Instant::now());
        let state = world.await_end(queue, id, left);
        if state != "completed" && state != "failed" {
            world.record.broke(format!("LOST: {id} of {queue} is shown as '{state}' at the end"));
        } else if state == "failed" {
            let runs = world.record.runs();
            let fails = runs.iter().filter(|r| r.task.starts_with(id.as_str()));
            let fails = fails.filter(|r| matches!(r.end, Some((_, crate::record::End::Failed)))).count();
            if fails < 3 {
                world.record.broke(format!("LOST: {id} is shown as failed after {fails} failed runs"));
            }
        }
    }
    let mut breaks = world.record.judge(&world.jobs);
    let alone = world.record.runs();
    let alone = alone.iter().filter(|r| matches!(r.end, Some((_, crate::record::End::Alone)))).count();
    if alone > 0 && !trouble {
        breaks.push(format!("GANG: {alone} runs ended alone"));
    }
    println!("{} jobs, {} runs, {alone} alone", all.len(), world.record.runs().len());
    world.end();
    Ok(breaks)
}

/// Gangs, cancellations and new runners, and no disruption; to look for gangs that wait in vain.
fn gangs(dir: &Path, seed: u64) -> Result<Vec<String>, String> {
    let world = World::start(dir, 4, 24, 32, Some((40, 2)))?;
    let over = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut clients = Vec::new();
    for c in 0..6u64 {
        let (world, over) = (world.clone(), over.clone());
        let mut d = Draw(seed * 31 + c + 7);
        clients.push(std::thread::spawn(move || {
            let mut n = 0;
            while !over.load(std::sync::atomic::Ordering::SeqCst) {
                n += 1;
                let queue = ["urgent", "batch", "policy"][d.below(3) as usize];
                let step = Step {
                    count: 2 + d.below(35) as u32,
                    cpu: 500 + 500 * d.below(4),
                    mem_mb: 500,
                    estimate_ms: 300 + d.below(2_000),
                    gang: d.is(0.8),
                    spread: (0.5, 1.5),
                    ..Step::default()
                };
                let mut j = job("gang", vec![step]);
                j.advice = queue == "policy";
                let id = format!("{:08x}{:08x}", seed as u32, (c * 10_000 + n) as u32);
                if world.submit(queue, &id, j) && d.is(0.25) {
                    sleep(ms(d.below(1_000)));
                    world.ask("DELETE", &format!("/{queue}/{id}"), "", 4);
                    world.record.cancelled(&id);
                }
                sleep(ms(100 + d.below(500)));
            }
        }));
    }
    let mut d = Draw(seed);
    for i in 0..12 {
        sleep(ms(2_000 + d.below(2_000)));
        world.configure(true);
        if i == 0 {
            world.record.say("configuration changed");
        }
    }
    over.store(true, std::sync::atomic::Ordering::SeqCst);
    for c in clients {
        let _ = c.join();
    }
    sleep(ms(20_000));
    let mut breaks = world.record.judge(&world.jobs);
    let runs = world.record.runs();
    let alone = runs.iter().filter(|r| matches!(r.end, Some((_, crate::record::End::Alone))));
    for r in alone.take(5) {
        breaks.push(format!("GANG: {} run {} on {} ended alone", r.task, r.run, r.runner));
    }
    println!("{} runs", runs.len());
    world.end();
    Ok(breaks)
}
