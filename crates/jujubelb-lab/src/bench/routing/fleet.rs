//! The fake endpoints: slots, queues, service times and disturbances.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::{
    ENDPOINTS, NOISE_SPREAD, SERVICE, SIZE_SPREAD, SLOTS, STALLS, Scenario, Trouble,
};

/// Mean length of a disturbance in microseconds.
const DISTURBANCE: f64 = 1_000_000.0;

/// All endpoints. Attempts are numbered by the caller.
pub(super) struct Fleet {
    endpoints: Vec<Endpoint>,
    /// Time spent on all attempts, and on hedges.
    pub(super) busy: f64,
    pub(super) busy_hedges: f64,
}

struct Endpoint {
    running: usize,
    queue: VecDeque<Work>,
    /// Times at which it becomes slower and faster in turn, in ascending order.
    changes: Vec<u64>,
    factor: f64,
}

/// An attempt at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct Work {
    pub(super) attempt: usize,
    /// Service time without disturbance.
    pub(super) time: f64,
    pub(super) hedge: bool,
}

impl Fleet {
    pub(super) fn new(scenario: &Scenario, seed: u64, length: f64) -> Self {
        let endpoint = |index| {
            let mut rng = stream(seed, 1, index as u64);
            let (changes, factor) = match scenario.trouble {
                Trouble::None => (Vec::new(), 1.0),
                Trouble::Slow(count, factor) if index < count => (vec![0], factor),
                Trouble::Slow(..) => (Vec::new(), 1.0),
                Trouble::Disturbed(part, factor) => (disturbances(&mut rng, part, length), factor),
            };
            Endpoint {
                running: 0,
                queue: VecDeque::new(),
                changes,
                factor,
            }
        };
        Self {
            endpoints: (0..ENDPOINTS).map(endpoint).collect(),
            busy: 0.0,
            busy_hedges: 0.0,
        }
    }

    /// An attempt arrives. Returns the end if it starts at once.
    pub(super) fn arrive(&mut self, now: u64, index: usize, work: Work) -> Option<(u64, Work)> {
        let endpoint = &mut self.endpoints[index];
        if endpoint.running >= SLOTS {
            endpoint.queue.push_back(work);
            return None;
        }
        endpoint.running += 1;
        Some(self.start(now, index, work))
    }

    /// An attempt ends. Returns the next one that starts, with its end.
    pub(super) fn end(&mut self, now: u64, index: usize) -> Option<(u64, Work)> {
        let endpoint = &mut self.endpoints[index];
        match endpoint.queue.pop_front() {
            Some(work) => Some(self.start(now, index, work)),
            None => {
                endpoint.running -= 1;
                None
            }
        }
    }

    fn start(&mut self, now: u64, index: usize, work: Work) -> (u64, Work) {
        let endpoint = &self.endpoints[index];
        let changes = endpoint.changes.partition_point(|at| *at <= now);
        let factor = if changes % 2 == 1 {
            endpoint.factor
        } else {
            1.0
        };
        let time = work.time * factor;
        self.busy += time;
        if work.hedge {
            self.busy_hedges += time;
        }
        (now + time as u64, work)
    }
}

/// Start and end times of the disturbances of one endpoint.
fn disturbances(rng: &mut StdRng, part: f64, length: f64) -> Vec<u64> {
    let pause = DISTURBANCE * (1.0 - part) / part;
    let mut changes = Vec::new();
    let mut at = 0.0;
    // At the start the endpoint is disturbed with the same probability as later.
    let mut quiet = !rng.random_bool(part);
    if !quiet {
        changes.push(0);
    }
    while at < length {
        at += exponential(rng) * if quiet { pause } else { DISTURBANCE };
        changes.push(at as u64);
        quiet = !quiet;
    }
    changes
}

/// A random stream for one purpose, the same for each choice of endpoints.
pub(super) fn stream(seed: u64, purpose: u64, index: u64) -> StdRng {
    let mut bytes = [0; 32];
    for (part, number) in bytes.chunks_exact_mut(8).zip([seed, purpose, index, 0]) {
        part.copy_from_slice(&number.to_le_bytes());
    }
    StdRng::from_seed(bytes)
}

/// Size of a request, the same at each endpoint; 1 on average.
pub(super) fn size(seed: u64, request: u64) -> f64 {
    log_normal(&mut stream(seed, 2, request), SIZE_SPREAD)
}

/// Service time of an attempt in microseconds, without disturbance.
pub(super) fn service_time(seed: u64, request: u64, attempt: u64) -> f64 {
    let mut rng = stream(seed, 3 + attempt, request);
    let stall = if rng.random_bool(STALLS.0) {
        STALLS.1
    } else {
        1.0
    };
    let mean_stall = 1.0 + STALLS.0 * (STALLS.1 - 1.0);
    SERVICE * size(seed, request) * log_normal(&mut rng, NOISE_SPREAD) * stall / mean_stall
}

pub(super) fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// A log-normal number with a mean of 1.
fn log_normal(rng: &mut StdRng, spread: f64) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (spread * normal - spread * spread / 2.0).exp()
}
