//! All workers of a deployment. One lock covers them, so that a run that has to end by a
//! lease has ended before another worker starts the next one.

use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::Notify;

use super::history::{History, Life, What};
use super::http::lock;
use super::interference::Interference;
use super::worker::{MAX_STOP, Machine, Refusal, StartOrder, Worker};

/// Interval at which ends are looked for.
const ADVANCE_INTERVAL: Duration = Duration::from_millis(15);

/// Highest reading of a worker's clock at the start of a life.
const MAX_CLOCK_START_MS: u64 = 1_000_000;

/// A place for one worker at a time, at one address.
#[derive(Debug)]
struct Place {
    machine: Machine,
    /// `None` while the worker is down.
    worker: Option<Worker>,
    lives: u64,
    /// Time left until a draining worker leaves, and when that was set.
    drains: Option<(Duration, Duration)>,
}

#[derive(Debug)]
struct State {
    places: Vec<Place>,
    random: StdRng,
}

/// The workers.
#[derive(Debug)]
pub(crate) struct Fleet {
    history: Arc<History>,
    interference: Interference,
    state: Mutex<State>,
    /// Notified when a run has ended.
    pub(crate) ended: Notify,
}

impl Fleet {
    /// Starts a worker on each machine.
    pub(crate) fn new(machines: Vec<Machine>, history: Arc<History>, seed: u64) -> Self {
        let count = machines.len();
        let place = |machine| Place {
            machine,
            worker: None,
            lives: 0,
            drains: None,
        };
        let fleet = Self {
            history,
            interference: Interference::new(seed),
            state: Mutex::new(State {
                places: machines.into_iter().map(place).collect(),
                random: StdRng::seed_from_u64(seed),
            }),
            ended: Notify::new(),
        };
        (0..count).for_each(|place| fleet.revive(place, true));
        fleet
    }

    /// Begins a new life at a place that is down, under the name of the life before or a new
    /// one.
    pub(crate) fn revive(&self, place: usize, same_name: bool) {
        let now = self.history.now();
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let mut state = lock(&self.state);
        let clock_start_ms = state.random.random_range(0..MAX_CLOCK_START_MS);
        let place_state = &mut state.places[place];
        if place_state.worker.is_some() {
            // Another fault at the same place has ended first.
            return;
        }
        place_state.lives += 1;
        let name = match same_name {
            true => format!("w{place}"),
            false => format!("w{place}-{}", place_state.lives),
        };
        let life = Life {
            name: name.into(),
            life: place_state.lives,
        };
        place_state.drains = None;
        let machine = &place_state.machine;
        self.history.add(What::Joined {
            worker: life.clone(),
            service: machine.service.clone(),
            cpu: machine.cpu,
            memory: machine.memory,
        });
        place_state.worker = Some(Worker::new(
            life,
            place_state.machine.clone(),
            self.interference,
            born.map_or(0, |d| d.as_millis() as u64),
            clock_start_ms,
            now,
        ));
    }

    /// Ends the life at a place with everything that runs there. Returns it.
    pub(crate) fn kill(&self, place: usize) -> Option<Life> {
        let mut state = lock(&self.state);
        let life = state.places[place].worker.take()?.life;
        let worker = life.clone();
        self.history.add(What::Died { worker });
        Some(life)
    }

    /// Lets a worker report that it leaves after `remaining`.
    pub(crate) fn drain(&self, place: usize, remaining: Duration) {
        let now = self.history.now();
        lock(&self.state).places[place].drains = Some((remaining, now));
    }

    /// Gives access to the worker at a place, and the time until it leaves if it drains;
    /// returns `None` while it is down.
    pub(crate) fn with<T>(
        &self,
        place: usize,
        act: impl FnOnce(&mut Worker, Option<Duration>, Duration) -> T,
    ) -> Option<T> {
        let mut state = lock(&self.state);
        let now = self.history.now();
        let place = &mut state.places[place];
        let drains = place
            .drains
            .map(|(left, since)| left.saturating_sub(now.saturating_sub(since)));
        place.worker.as_mut().map(|w| act(w, drains, now))
    }

    /// Carries out a start. `None` if the worker is down.
    pub(crate) fn start(&self, place: usize, mut order: StartOrder) -> Option<Result<(), Refusal>> {
        let job = self.history.job(&order.task.job);
        let mut state = lock(&self.state);
        let now = self.history.now();
        let mut ended = false;
        for place in &mut state.places {
            if let Some(worker) = &mut place.worker {
                ended |= worker.advance(now, &self.history);
            }
        }
        let step = job.as_ref().and_then(|j| j.steps.get(order.task.step));
        let failing = step.map_or(0.0, |s| s.failing);
        order.fails = state.random.random::<f64>() < failing;
        let worker = state.places[place].worker.as_mut()?;
        let result = worker.start(order, job.as_ref(), now, &self.history);
        drop(state);
        if ended {
            self.ended.notify_waiters();
        }
        Some(result)
    }

    /// How long the next stop takes.
    pub(crate) fn draw_stop(&self) -> Duration {
        MAX_STOP.mul_f64(lock(&self.state).random.random_range(0.1..0.9))
    }

    /// Ends runs when they are due. Never returns.
    pub(crate) async fn advance(self: Arc<Self>) {
        loop {
            tokio::time::sleep(ADVANCE_INTERVAL).await;
            let mut state = lock(&self.state);
            let now = self.history.now();
            let mut ended = false;
            for place in &mut state.places {
                if let Some(worker) = &mut place.worker {
                    ended |= worker.advance(now, &self.history);
                }
            }
            drop(state);
            if ended {
                self.ended.notify_waiters();
            }
        }
    }
}
