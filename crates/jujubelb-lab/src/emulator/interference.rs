//! How much best-effort tasks disturb serving tasks on the same worker. The headroom of a serving
//! task is its target divided by the tail of its response times. The tail grows with the inverse
//! of the idle capacity, so that each best-effort task takes headroom in proportion to the share
//! of the worker that it uses. Everything follows from the seed.

use std::f64::consts::TAU;
use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::history::TaskName;

/// Time that a reported tail covers.
pub(crate) const REPORT_WINDOW: Duration = Duration::from_millis(500);

/// Headroom that is lost to a best-effort task which uses a whole worker, of pairs that may run
/// together and of others. A task that uses a tenth takes over half of the least headroom of the
/// latter.
const SLIGHT_SLOPE: Range<f64> = 0.5..2.0;
const STRONG_SLOPE: Range<f64> = 10.0..20.0;

/// Shares of serving images that a best-effort image disturbs strongly, by kind of image.
pub(crate) const STRONG_SHARES: [f64; 3] = [0.0, 0.4, 1.0];

/// Mean headroom of a serving job under the load of its own users, and how far the swings of this
/// load change it. The sum never falls below 1, so that a job alone always meets its target.
const MEAN_HEADROOM: Range<f64> = 2.2..3.0;
const HEADROOM_SWING: Range<f64> = 0.3..0.9;

/// Seconds of a swing.
const SWING_S: Range<f64> = 6.0..14.0;

/// Least headroom; it bounds the tail of a worker without idle capacity.
const MIN_HEADROOM: f64 = 0.05;

/// Relative error of a reported tail, up or down.
const REPORT_NOISE: f64 = 0.1;

/// The interference between the images of a seed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Interference {
    seed: u64,
}

impl Interference {
    pub(crate) fn new(seed: u64) -> Self {
        Self { seed }
    }

    /// A generator that depends only on the seed and the names (FNV-1a).
    fn random(&self, names: &[&str]) -> StdRng {
        let bytes = names.iter().flat_map(|n| n.bytes().chain([0]));
        let mixed = bytes.fold(self.seed ^ 0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
        StdRng::seed_from_u64(mixed)
    }

    /// The kind of a best-effort image, an index into [`STRONG_SHARES`].
    pub(crate) fn kind(&self, best_effort: &str) -> usize {
        self.random(&[best_effort])
            .random_range(0..STRONG_SHARES.len())
    }

    /// Headroom that a serving image loses to a best-effort one that uses the whole worker.
    pub(crate) fn slope(&self, serving: &str, best_effort: &str) -> f64 {
        let share = STRONG_SHARES[self.kind(best_effort)];
        let mut pair = self.random(&[serving, best_effort]);
        match pair.random::<f64>() < share {
            true => pair.random_range(STRONG_SLOPE),
            false => pair.random_range(SLIGHT_SLOPE),
        }
    }

    /// Headroom of a job's tasks without best-effort tasks beside them.
    pub(crate) fn undisturbed(&self, job: &str, now: Duration) -> f64 {
        let mut random = self.random(&[job]);
        let mean = random.random_range(MEAN_HEADROOM);
        let swing = random.random_range(HEADROOM_SWING);
        let turns = now.as_secs_f64() / random.random_range(SWING_S) + random.random::<f64>();
        mean + swing * (TAU * turns).sin()
    }

    /// Headroom of a task beside best-effort tasks, given as images and shares of the worker.
    pub(crate) fn headroom<'a>(
        &self,
        (job, image): (&str, &str),
        neighbours: impl IntoIterator<Item = (&'a str, f64)>,
        now: Duration,
    ) -> f64 {
        let taken = neighbours
            .into_iter()
            .map(|(other, share)| self.slope(image, other) * share);
        (self.undisturbed(job, now) - taken.sum::<f64>()).max(MIN_HEADROOM)
    }

    /// Factor of the tail that a worker reports at a time.
    pub(crate) fn noise(&self, task: &TaskName, now: Duration) -> f64 {
        let window = now.as_millis() / REPORT_WINDOW.as_millis();
        let mut random = self.random(&[&task.to_string(), &window.to_string()]);
        1.0 + random.random_range(-REPORT_NOISE..REPORT_NOISE)
    }
}
