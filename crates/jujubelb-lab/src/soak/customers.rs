//! Customers of unequal size: their keys and limits, which the operator changes, surges of jobs of
//! one of them, and probes with keys that hosts must accept or refuse.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arcstr::ArcStr;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use reqwest::{Client, RequestBuilder};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::clients::{Caller, Ground, draw_job, follow};
use crate::emulator::customers::{Customer, Key};
use crate::emulator::history::What;
use crate::emulator::http::lock;
use crate::emulator::platform::entries::QUEUE_HOST;
use crate::emulator::platform::jobs;

/// Name, weight, and limits in millicores and mebibytes of each customer. Limits are about twice
/// what a customer uses by its share of the jobs, so that a surge reaches them and is worked off
/// after the traffic.
const CUSTOMERS: [(&str, u32, u64, u64); 3] = [
    ("large", 6, 9_000, 0),
    ("middle", 3, 5_000, 2_048),
    ("small", 1, 2_500, 1_024),
];

/// Part of its limits to which the operator lowers a customer's. The largest task still fits into
/// the smallest limit.
const LOWERED: f64 = 0.6;

/// Share of the changes by which a limit is lowered or raised; each withdraws and adds a key.
const LIMIT_CHANGES: f64 = 0.6;

/// Keys of a customer at a time. A change of one of them leaves a key that is held before and after
/// it.
const KEYS: usize = 2;

/// Letters of a key.
const KEY_LETTERS: usize = 20;

/// Share of calls with a key that is no longer held, or never was.
const BAD_CALLS: f64 = 0.08;

/// Withdrawn keys with which calls come: the last ones, for which hosts may be late.
const LATE_KEYS: usize = 3;

/// Times the usual number of jobs that a customer sends in a surge, and how long it lasts.
const SURGE: f64 = 6.0;
const SURGE_S: std::ops::Range<f64> = 3.0..5.0;

/// Pause before a surge. The first comes within the shortest soak.
const SURGE_PAUSE_S: std::ops::Range<f64> = 3.0..12.0;

/// Pause between two probes of a host with some key.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);

/// Queue whose number of waiting jobs is asked for with keys.
const PROBED_QUEUE: &str = "/batch/";

/// The customers as the operator's newest configuration has them.
#[derive(Debug)]
pub(crate) struct Customers {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    random: StdRng,
    customers: Vec<Customer>,
    /// Keys that were withdrawn, the last one at the end.
    withdrawn: Vec<Key>,
    /// Number of keys that have been drawn.
    drawn: usize,
}

impl State {
    fn draw_key(&mut self, name: &str) -> Key {
        self.drawn += 1;
        Key {
            id: format!("{name}-{}", self.drawn).into(),
            text: draw_text(&mut self.random),
        }
    }
}

fn draw_text(random: &mut StdRng) -> ArcStr {
    let letter = |_| char::from(random.random_range(b'a'..=b'z'));
    (0..KEY_LETTERS).map(letter).collect::<String>().into()
}

impl Customers {
    pub(crate) fn new(seed: u64) -> Self {
        let mut state = State {
            random: StdRng::seed_from_u64(seed),
            customers: Vec::new(),
            withdrawn: Vec::new(),
            drawn: 0,
        };
        for (name, weight, max_cpu, max_memory) in CUSTOMERS {
            let keys = (0..KEYS).map(|_| state.draw_key(name)).collect();
            state.customers.push(Customer {
                name: name.into(),
                keys,
                weight,
                max_cpu,
                max_memory,
            });
        }
        let state = Mutex::new(state);
        Self { state }
    }

    /// The customers for the next configuration.
    pub(crate) fn current(&self) -> Vec<Customer> {
        lock(&self.state).customers.clone()
    }

    /// Withdraws a key of a customer and adds another one, and perhaps lowers or raises the limits
    /// of a customer.
    pub(crate) fn change(&self) {
        let mut state = lock(&self.state);
        let index = state.random.random_range(0..CUSTOMERS.len());
        let added = state.draw_key(CUSTOMERS[index].0);
        let keys = &mut state.customers[index].keys;
        keys.push(added);
        let withdrawn = keys.remove(0);
        state.withdrawn.push(withdrawn);
        if state.random.random_bool(LIMIT_CHANGES) {
            let index = state.random.random_range(0..CUSTOMERS.len());
            let usual = CUSTOMERS[index].2;
            let share = match state.customers[index].max_cpu == usual {
                true => LOWERED,
                false => 1.0,
            };
            state.set_limits(index, share);
        }
    }

    /// Raises all limits that were lowered.
    pub(crate) fn restore_limits(&self) {
        let mut state = lock(&self.state);
        (0..CUSTOMERS.len()).for_each(|index| state.set_limits(index, 1.0));
    }

    /// The customer of a job, by the weights.
    pub(crate) fn draw_customer(random: &mut StdRng) -> ArcStr {
        let mut drawn = random.random_range(0..total_weight());
        for (name, weight, ..) in CUSTOMERS {
            if drawn < weight {
                return name.into();
            }
            drawn -= weight;
        }
        CUSTOMERS[0].0.into()
    }

    /// A key that the newest configuration holds, of any customer.
    pub(crate) fn held_key(&self, random: &mut StdRng) -> Key {
        let state = lock(&self.state);
        let customer = &state.customers[random.random_range(0..CUSTOMERS.len())];
        customer.keys[random.random_range(0..KEYS)].clone()
    }

    /// A key for a call of a customer; for a share of the calls one that hosts have to refuse, or
    /// none.
    pub(crate) fn draw_key(&self, name: &str, random: &mut StdRng) -> Option<Key> {
        if random.random_bool(BAD_CALLS) {
            return self.bad_key(random);
        }
        let state = lock(&self.state);
        let customer = state.customers.iter().find(|c| c.name == name)?;
        Some(customer.keys[random.random_range(0..KEYS)].clone())
    }

    /// A key that was withdrawn lately, one that was never held, or none.
    fn bad_key(&self, random: &mut StdRng) -> Option<Key> {
        let late: Vec<Key> = {
            let state = lock(&self.state);
            let late = state.withdrawn.iter().rev().take(LATE_KEYS);
            late.cloned().collect()
        };
        match random.random_range(0..4) {
            0 => None,
            1 => Some(Key {
                id: "never held".into(),
                text: draw_text(random),
            }),
            _ if late.is_empty() => None,
            _ => Some(late[random.random_range(0..late.len())].clone()),
        }
    }
}

impl State {
    fn set_limits(&mut self, index: usize, share: f64) {
        let (_, _, cpu, memory) = CUSTOMERS[index];
        let part = |limit: u64| (limit as f64 * share) as u64;
        let customer = &mut self.customers[index];
        (customer.max_cpu, customer.max_memory) = (part(cpu), part(memory));
    }
}

fn total_weight() -> u32 {
    CUSTOMERS.iter().map(|c| c.1).sum()
}

/// Adds a key to a request.
pub(crate) fn authorize(request: RequestBuilder, key: Option<&Key>) -> RequestBuilder {
    match key {
        Some(key) => request.header(jobs::KEY_HEADER, jobs::key_value(key)),
        None => request,
    }
}

/// Lets one customer after the other send several times its usual for some seconds, until the
/// traffic ends. `pause` is the mean time between two jobs of all customers.
pub(crate) async fn send_surges(ground: Ground, http: Client, seed: u64, pause: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut following = JoinSet::new();
    loop {
        sleep(draw_time(&mut random, SURGE_PAUSE_S)).await;
        let (name, weight, ..) = CUSTOMERS[random.random_range(0..CUSTOMERS.len())];
        let usual = pause.mul_f64(f64::from(total_weight()) / f64::from(weight));
        let until = Instant::now() + draw_time(&mut random, SURGE_S);
        if until >= ground.traffic_end {
            break;
        }
        while Instant::now() < until {
            let mut job = draw_job(&mut random);
            job.customer = Some(name.into());
            let caller = Caller::new(&ground, &http, random.random());
            following.spawn(follow(caller, job));
            sleep(usual.div_f64(SURGE).mul_f64(random.random_range(0.1..1.9))).await;
        }
    }
    while following.join_next().await.is_some() {}
}

fn draw_time(random: &mut StdRng, seconds: std::ops::Range<f64>) -> Duration {
    Duration::from_secs_f64(random.random_range(seconds))
}

/// Asks a host again and again for the jobs that wait in a queue, half of the time with a key that
/// it has to refuse.
pub(crate) async fn probe(
    customers: Arc<Customers>,
    ground: Ground,
    http: Client,
    host: usize,
    seed: u64,
) {
    let mut random = StdRng::seed_from_u64(seed);
    let url = format!("{}{PROBED_QUEUE}", ground.hosts[host]);
    while Instant::now() < ground.traffic_end {
        let key = match random.random() {
            true => Some(customers.held_key(&mut random)),
            false => customers.bad_key(&mut random),
        };
        let asked = ground.history.now();
        let request = http.get(&url).header("Host", QUEUE_HOST);
        if let Ok(response) = authorize(request, key.as_ref()).send().await {
            ground.history.add(What::KeyAnswered {
                host,
                key,
                asked,
                status: response.status().as_u16(),
            });
        }
        sleep(PROBE_INTERVAL).await;
    }
}
