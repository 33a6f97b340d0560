//! Simulated endpoints: slots, queues, service times and disturbances.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::scenario::{
    ENDPOINT_COUNT, MEAN_SERVICE_MICROS, NOISE_SIGMA, SIZE_SIGMA, SLOTS, STALL_SHARE_AND_FACTOR,
    Scenario, Slowdown,
};

/// Mean duration of a disturbance.
const MEAN_DISTURBANCE_MICROS: f64 = 1_000_000.0;

/// All simulated endpoints. The caller assigns the attempt numbers.
pub(super) struct Fleet {
    endpoints: Vec<Endpoint>,
    /// Microseconds spent on all attempts, hedges included.
    pub(super) busy_time: f64,
    /// Microseconds spent on hedges.
    pub(super) hedge_time: f64,
}

struct Endpoint {
    running: usize,
    queue: VecDeque<QueuedAttempt>,
    /// Times in microseconds, ascending, at which a disturbance starts or ends, alternating.
    changes: Vec<u64>,
    /// Multiplier of service times during a disturbance.
    factor: f64,
}

/// An attempt that runs or waits at an endpoint.
#[derive(Debug, Clone, Copy)]
pub(super) struct QueuedAttempt {
    pub(super) attempt: usize,
    /// Service time without disturbance, in microseconds.
    pub(super) service_micros: f64,
    pub(super) hedge: bool,
}

impl Fleet {
    pub(super) fn new(scenario: &Scenario, seed: u64, length: f64) -> Self {
        let endpoint = |index| {
            let mut rng = stream(seed, 1, index as u64);
            let (changes, factor) = match scenario.slowdown {
                Slowdown::None => (Vec::new(), 1.0),
                Slowdown::Slow(count, factor) if index < count => (vec![0], factor),
                Slowdown::Slow(..) => (Vec::new(), 1.0),
                Slowdown::Disturbed(part, factor) => (disturbances(&mut rng, part, length), factor),
            };
            Endpoint {
                running: 0,
                queue: VecDeque::new(),
                changes,
                factor,
            }
        };
        Self {
            endpoints: (0..ENDPOINT_COUNT).map(endpoint).collect(),
            busy_time: 0.0,
            hedge_time: 0.0,
        }
    }

    /// Starts or queues an attempt. Returns its completion time if it starts at once.
    pub(super) fn arrive(
        &mut self,
        now: u64,
        index: usize,
        work: QueuedAttempt,
    ) -> Option<(u64, QueuedAttempt)> {
        let endpoint = &mut self.endpoints[index];
        if endpoint.running >= SLOTS {
            endpoint.queue.push_back(work);
            return None;
        }
        endpoint.running += 1;
        Some(self.start(now, index, work))
    }

    /// Completes an attempt. Returns the queued one that starts next and its completion time.
    pub(super) fn end(&mut self, now: u64, index: usize) -> Option<(u64, QueuedAttempt)> {
        let endpoint = &mut self.endpoints[index];
        match endpoint.queue.pop_front() {
            Some(work) => Some(self.start(now, index, work)),
            None => {
                endpoint.running -= 1;
                None
            }
        }
    }

    fn start(&mut self, now: u64, index: usize, work: QueuedAttempt) -> (u64, QueuedAttempt) {
        let endpoint = &self.endpoints[index];
        let changes = endpoint.changes.partition_point(|at| *at <= now);
        let factor = if changes % 2 == 1 {
            endpoint.factor
        } else {
            1.0
        };
        let time = work.service_micros * factor;
        self.busy_time += time;
        if work.hedge {
            self.hedge_time += time;
        }
        (now + time as u64, work)
    }
}

/// Generates the alternating start and end times of the disturbances of one endpoint.
fn disturbances(rng: &mut StdRng, part: f64, length: f64) -> Vec<u64> {
    let pause = MEAN_DISTURBANCE_MICROS * (1.0 - part) / part;
    let mut changes = Vec::new();
    let mut at = 0.0;
    // The initial state has the stationary probability of a disturbance.
    let mut quiet = !rng.random_bool(part);
    if !quiet {
        changes.push(0);
    }
    while at < length {
        at += exponential(rng)
            * if quiet {
                pause
            } else {
                MEAN_DISTURBANCE_MICROS
            };
        changes.push(at as u64);
        quiet = !quiet;
    }
    changes
}

/// Returns the random stream for one purpose. It is the same for every policy.
pub(super) fn stream(seed: u64, purpose: u64, index: u64) -> StdRng {
    let mut bytes = [0; 32];
    for (part, number) in bytes.chunks_exact_mut(8).zip([seed, purpose, index, 0]) {
        part.copy_from_slice(&number.to_le_bytes());
    }
    StdRng::from_seed(bytes)
}

/// Returns the relative size of a request, the same at every endpoint, with a mean of 1.
pub(super) fn size(seed: u64, request: u64) -> f64 {
    log_normal(&mut stream(seed, 2, request), SIZE_SIGMA)
}

/// Returns the service time of an attempt in microseconds, without disturbance.
pub(super) fn service_time(seed: u64, request: u64, attempt: u64) -> f64 {
    let mut rng = stream(seed, 3 + attempt, request);
    let stall = if rng.random_bool(STALL_SHARE_AND_FACTOR.0) {
        STALL_SHARE_AND_FACTOR.1
    } else {
        1.0
    };
    let mean_stall = 1.0 + STALL_SHARE_AND_FACTOR.0 * (STALL_SHARE_AND_FACTOR.1 - 1.0);
    MEAN_SERVICE_MICROS * size(seed, request) * log_normal(&mut rng, NOISE_SIGMA) * stall
        / mean_stall
}

/// Draws an exponentially distributed number with a mean of 1.
pub(super) fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

/// Draws a log-normal number with a mean of 1 by the Box-Muller transform.
fn log_normal(rng: &mut StdRng, sigma: f64) -> f64 {
    let radius = (2.0 * exponential(rng)).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    (sigma * normal - sigma * sigma / 2.0).exp()
}
