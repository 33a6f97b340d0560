//! The operator's changes: a queue that comes and goes, and evacuations. Probes ask each host
//! whether the queue exists.

use std::sync::Arc;
use std::time::Duration;

use arcstr::ArcStr;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::Client;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::emulator::history::{History, What};
use crate::emulator::platform::entries::{QUEUE_HOST, Queue};
use crate::emulator::{Emulator, ZONES};

/// Queue that comes and goes.
const PASSING_QUEUE: &str = "/passing/";

/// Pause between two probes of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Seconds between two changes. Longer than the bounds on configurations and evacuations
/// together with the time after a fault in which they don't hold.
const CHANGE_S: std::ops::Range<f64> = 4.0..12.0;

/// The queues of the configuration.
pub(crate) fn queues(with_passing: bool) -> Vec<Queue> {
    let queue = |prefix: &str, service: &str, priority| Queue {
        prefix: prefix.into(),
        service: service.into(),
        priority,
    };
    let mut queues = vec![
        queue("/urgent/", "main", 0),
        queue("/batch/", "main", 2),
        queue("/side/", "side", 1),
    ];
    if with_passing {
        queues.push(queue(PASSING_QUEUE, "main", 1));
    }
    queues
}

/// Changes the configuration and evacuates failure domains until `end`. Changes the configuration
/// at once when it is woken.
pub(crate) async fn operate(
    emulator: Arc<Emulator>,
    change_now: Arc<Notify>,
    seed: u64,
    end: Instant,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut version = 1;
    let mut passing = false;
    let mut is_woken = false;
    loop {
        if !is_woken {
            let pause = Duration::from_secs_f64(random.random_range(CHANGE_S));
            if Instant::now() + pause >= end {
                return;
            }
            is_woken = timeout(pause, change_now.notified()).await.is_ok();
        }
        if std::mem::take(&mut is_woken) || random.random::<f64>() < 0.6 {
            version += random.random_range(1..4);
            passing = !passing;
            emulator.configure(version, &queues(passing));
            continue;
        }
        let zone = ZONES[random.random_range(0..ZONES.len())];
        emulator.evacuate(zone);
        let until = Instant::now() + Duration::from_secs_f64(random.random_range(CHANGE_S));
        let woken = timeout_at(until.min(end), change_now.notified()).await;
        is_woken = woken.is_ok();
        emulator.restore(zone);
    }
}

/// Asks a host again and again whether the passing queue exists.
pub(crate) async fn probe(
    history: Arc<History>,
    http: Client,
    host: usize,
    base: String,
    end: Instant,
) {
    let prefix = ArcStr::from(PASSING_QUEUE);
    while Instant::now() < end {
        let asked = history.now();
        let url = format!("{base}{prefix}");
        let response = http.get(url).header("Host", QUEUE_HOST).send().await;
        let exists = match response.map(|r| r.status().as_u16()) {
            Ok(200) => Some(true),
            Ok(404) => Some(false),
            _ => None,
        };
        if let Some(exists) = exists {
            let prefix = prefix.clone();
            history.add(What::QueueShown {
                host,
                prefix,
                asked,
                exists,
            });
        }
        sleep(PROBE_INTERVAL).await;
    }
}
