//! Serving jobs on all workers, and bursts of best-effort jobs beside them.

use std::ops::Range;
use std::time::Duration;

use arcstr::ArcStr;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::clients::{Caller, Ground, QUEUES, Submission, draw_id, follow};
use crate::emulator::history::{Role, SentJob, SentStep};
use crate::emulator::interference::{Interference, STRONG_SHARES};

/// Millicores and mebibytes of each worker. Best-effort tasks are small against a worker, so that
/// a single one leaves headroom to serving tasks whose interference is unknown.
pub(crate) const WORKER_CPU: u64 = 32_000;
pub(crate) const WORKER_MEMORY: u64 = 128_000;

/// Tasks of a serving job. Each image is sent once for each worker, and a worker has capacity for
/// several, so that under half of the capacity is in use.
const SERVING_TASKS: u32 = 2;

/// Millicores of a serving task.
const SERVING_CPU: Range<u64> = 3_500..5_000;

/// Seconds until a serving job is replaced by another of the same image.
const SERVING_S: Range<f64> = 15.0..60.0;

/// Millicores of a best-effort task: a tenth of a worker, beside which smaller ones often left enough
/// headroom with strong slopes too.
const BEST_EFFORT_CPU: Range<u64> = 3_000..3_700;

/// Share of bursts whose image disturbs all serving images. With a third of the bursts, their jobs
/// were often worked off soon after the traffic.
const DISTURBING_BURSTS: f64 = 0.6;

/// Jobs of a burst, the pause between two of them and the pause after a burst in milliseconds.
const BURST_JOBS: Range<usize> = 4..10;
const JOB_PAUSE_MS: Range<u64> = 20..200;
const BURST_PAUSE_MS: Range<u64> = 1_500..6_000;

/// Sends serving jobs and bursts until the traffic ends, and follows them. The last serving jobs
/// stay.
pub(crate) async fn send(
    ground: Ground,
    http: Client,
    seed: u64,
    images: usize,
    interference: Interference,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut following = JoinSet::new();
    for image in 0..images {
        let caller = Caller::new(&ground, &http, random.random());
        following.spawn(keep_serving(caller, serving_image(image)));
    }
    // One image of each kind: the one that disturbs all serving images shows whether its jobs wait
    // for good, the others whether they run beside the images that they don't disturb.
    let classes: Vec<SentStep> = (0..STRONG_SHARES.len())
        .filter_map(|kind| {
            let mut names = (0..).map(|number| format!("best-effort-{number}"));
            names.find(|image| interference.kind(image) == kind)
        })
        .map(|image| draw_best_effort(&mut random, image.into()))
        .collect();
    for (serving, best_effort) in (0..images).flat_map(|s| classes.iter().map(move |c| (s, c))) {
        if let Role::BestEffort { image } = &best_effort.role {
            let serving = serving_image(serving);
            let slope = interference.slope(&serving, image);
            log::info!(serving:%, best_effort:% = image, slope; "slope of a pair of images");
        }
    }
    while Instant::now() < ground.traffic_end {
        let class = match random.random::<f64>() < DISTURBING_BURSTS {
            true => &classes[classes.len() - 1],
            false => &classes[random.random_range(0..classes.len() - 1)],
        };
        for _ in 0..random.random_range(BURST_JOBS) {
            let steps = (0..random.random_range(1..=2_u16)).map(|index| SentStep {
                after: index.checked_sub(1).into_iter().collect(),
                ..class.clone()
            });
            let job = job(&mut random, QUEUES[1].0, steps.collect());
            let caller = Caller::new(&ground, &http, random.random());
            following.spawn(follow(caller, job));
            sleep(Duration::from_millis(random.random_range(JOB_PAUSE_MS))).await;
        }
        sleep(Duration::from_millis(random.random_range(BURST_PAUSE_MS))).await;
    }
    while following.join_next().await.is_some() {}
}

fn serving_image(number: usize) -> ArcStr {
    format!("serving-{number}").into()
}

/// Sends a serving job, and replaces it from time to time.
async fn keep_serving(mut caller: Caller, image: ArcStr) {
    while Instant::now() < caller.ground.traffic_end {
        let step = draw_serving(&mut caller.random, &image);
        let job = job(&mut caller.random, QUEUES[0].0, vec![step]);
        match caller.submit(&job).await {
            Submission::Accepted => {}
            Submission::Refused => continue,
            Submission::Unclear => {
                caller.cancel(&job).await;
                continue;
            }
        }
        let time = Duration::from_secs_f64(caller.random.random_range(SERVING_S));
        if Instant::now() + time >= caller.ground.traffic_end {
            return;
        }
        sleep(time).await;
        caller.cancel(&job).await;
    }
}

fn job(random: &mut StdRng, prefix: &str, steps: Vec<SentStep>) -> SentJob {
    let id = draw_id(random);
    SentJob {
        payload: format!("payload of {id}").into(),
        id,
        customer: None,
        prefix: prefix.into(),
        service: QUEUES[0].1.into(),
        steps,
    }
}

fn draw_serving(random: &mut StdRng, image: &ArcStr) -> SentStep {
    SentStep {
        count: SERVING_TASKS,
        cpu: random.random_range(SERVING_CPU),
        memory: random.random_range(2_000..6_000),
        work: Duration::from_secs(10),
        after: Vec::new(),
        checkpoints: false,
        lasts: true,
        failing: 0.0,
        role: Role::Serving {
            image: image.clone(),
            target: Duration::from_millis(random.random_range(100..400)),
        },
    }
}

fn draw_best_effort(random: &mut StdRng, image: ArcStr) -> SentStep {
    SentStep {
        count: random.random_range(3..=8),
        cpu: random.random_range(BEST_EFFORT_CPU),
        memory: random.random_range(500..2_000),
        work: Duration::from_millis(random.random_range(800..2_500)),
        after: Vec::new(),
        checkpoints: random.random(),
        lasts: false,
        failing: 0.0,
        role: Role::BestEffort { image },
    }
}
