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

use super::clients::Ground;
use super::customers::{Customers, authorize};
use crate::emulator::history::What;
use crate::emulator::platform::entries::{QUEUE_HOST, Queue};
use crate::emulator::{Emulator, ZONES};

/// Queue that comes and goes.
const PASSING_QUEUE: &str = "/passing/";

/// Queue that needs no key, beside customers.
pub(crate) const OPEN_QUEUE: &str = "/open/";

/// Pause between two probes of a host.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Seconds between two changes. Longer than the bounds on configurations and evacuations
/// together with the time after a fault in which they don't hold.
const CHANGE_S: std::ops::Range<f64> = 4.0..12.0;

/// The queues of the configuration.
fn queues(with_passing: bool, with_open: bool) -> Vec<Queue> {
    let queue = |prefix: &str, service: &str, priority| Queue {
        prefix: prefix.into(),
        service: service.into(),
        priority,
        public: prefix == OPEN_QUEUE,
    };
    let mut queues = vec![
        queue("/urgent/", "main", 0),
        queue("/batch/", "main", 2),
        queue("/side/", "side", 1),
    ];
    if with_passing {
        queues.push(queue(PASSING_QUEUE, "main", 1));
    }
    if with_open {
        queues.push(queue(OPEN_QUEUE, "main", 1));
    }
    queues
}

/// Writes a configuration with the customers as they are now, if there are any.
pub(crate) fn configure(
    emulator: &Emulator,
    version: u64,
    with_passing: bool,
    customers: Option<&Customers>,
) {
    let queues = queues(with_passing, customers.is_some());
    let customers = customers.map(Customers::current).unwrap_or_default();
    emulator.configure(version, &queues, customers);
}

/// Changes the configuration and evacuates failure domains until `end`. Changes the configuration
/// at once when it is woken.
pub(crate) async fn operate(
    emulator: Arc<Emulator>,
    customers: Option<Arc<Customers>>,
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
                break;
            }
            is_woken = timeout(pause, change_now.notified()).await.is_ok();
        }
        if std::mem::take(&mut is_woken) || random.random::<f64>() < 0.6 {
            version += random.random_range(1..4);
            passing = !passing;
            if let Some(customers) = &customers {
                customers.change();
            }
            configure(&emulator, version, passing, customers.as_deref());
            continue;
        }
        let zone = ZONES[random.random_range(0..ZONES.len())];
        emulator.evacuate(zone);
        let until = Instant::now() + Duration::from_secs_f64(random.random_range(CHANGE_S));
        let woken = timeout_at(until.min(end), change_now.notified()).await;
        is_woken = woken.is_ok();
        emulator.restore(zone);
    }
    // What customers have sent is then over in time.
    if let Some(customers) = customers {
        customers.restore_limits();
        configure(&emulator, version + 1, passing, Some(&customers));
    }
}

/// Asks a host again and again whether the passing queue exists.
pub(crate) async fn probe(ground: Ground, http: Client, host: usize, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let prefix = ArcStr::from(PASSING_QUEUE);
    let history = &ground.history;
    while Instant::now() < ground.traffic_end {
        let asked = history.now();
        let url = format!("{}{prefix}", ground.hosts[host]);
        let mut request = http.get(url).header("Host", QUEUE_HOST);
        if let Some(customers) = &ground.customers {
            let key = customers.held_key(&mut random);
            request = authorize(request, Some(&key));
        }
        let exists = match request.send().await.map(|r| r.status().as_u16()) {
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
