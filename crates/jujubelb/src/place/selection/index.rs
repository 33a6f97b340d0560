//! Index of workers by free capacity.
//!
//! Workers are kept in buckets by the size classes of their free processor time and
//! free memory. A search visits only the buckets whose workers may fit the request,
//! so its cost depends on the number of buckets, not on the number of workers.

use crate::model::Resources;

/// Number of size classes of each resource. Two classes cover one doubling.
const SIZE_CLASSES: usize = 24;

/// Amounts below these are in class 0: 125 millicores and 64 MiB.
const CPU_CLASS_MILLICORES: u64 = 125;
const MEMORY_CLASS_BYTES: u64 = 64 << 20;

/// Maximum number of workers that don't fit which one traversal of the buckets
/// examines before it ends. Only buckets of the request's own size classes contain
/// such workers; the descending traversal reaches the larger classes first.
const MAX_MISSES: usize = 64;

#[derive(Debug, Clone, Default)]
struct WorkerSlot {
    free: Resources,
    /// Resources for tasks in total, free or not.
    usable: Resources,
    /// Whether tasks may be placed on the worker.
    schedulable: bool,
    /// Bucket of the worker and its position there; absent if not schedulable.
    bucket: Option<(usize, usize)>,
}

/// Free capacity of the workers of one shard, identified by their position.
#[derive(Debug, Default)]
pub(crate) struct CapacityIndex {
    slots: Vec<WorkerSlot>,
    buckets: Vec<Vec<u32>>,
    /// Bit mask of the non-empty buckets of each row, that is, of each accelerator
    /// group and size class of processor time.
    row_masks: Vec<u32>,
}

impl CapacityIndex {
    /// Creates an index of `count` workers that are not schedulable.
    pub(crate) fn new(count: usize) -> Self {
        Self {
            slots: vec![WorkerSlot::default(); count],
            buckets: vec![Vec::new(); 2 * SIZE_CLASSES * SIZE_CLASSES],
            row_masks: vec![0; 2 * SIZE_CLASSES],
        }
    }

    /// Number of workers.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// Free capacity of a worker.
    pub(crate) fn free(&self, worker: usize) -> Resources {
        self.slots[worker].free
    }

    /// Resources that a worker has for tasks in total.
    pub(crate) fn usable(&self, worker: usize) -> Resources {
        self.slots[worker].usable
    }

    /// Whether tasks may be placed on a worker.
    pub(crate) fn is_schedulable(&self, worker: usize) -> bool {
        self.slots[worker].schedulable
    }

    /// Sets the state of a worker.
    pub(crate) fn update(
        &mut self,
        worker: usize,
        free: Resources,
        usable: Resources,
        schedulable: bool,
    ) {
        let slot = &mut self.slots[worker];
        slot.usable = usable;
        if slot.free == free && slot.schedulable == schedulable {
            return;
        }
        slot.free = free;
        slot.schedulable = schedulable;
        self.reindex(worker);
    }

    /// Reserves capacity on a worker. Returns `false` and changes nothing if the amount
    /// isn't free.
    pub(crate) fn reserve(&mut self, worker: usize, amount: &Resources) -> bool {
        let slot = &mut self.slots[worker];
        if !amount.fits(&slot.free) {
            return false;
        }
        slot.free = slot.free.saturating_sub(amount);
        self.reindex(worker);
        true
    }

    /// Returns up to `limit` schedulable workers that fit `need`: half of them with
    /// the least free capacity, which avoids fragmentation, and half with the most,
    /// which offers a choice between workers with different tasks and services.
    /// `tie_break` varies the choice among equals.
    pub(crate) fn search(&self, need: &Resources, limit: usize, tie_break: u64) -> Vec<usize> {
        let mut found = Vec::with_capacity(limit);
        let accelerator_groups: &[usize] = if need.accelerators > 0 { &[1] } else { &[0, 1] };
        for &accelerator_group in accelerator_groups {
            let mut misses_left = MAX_MISSES;
            let half_limit = limit - (limit - found.len()) / 2;
            self.visit_buckets(accelerator_group, need, false, |bucket| {
                self.collect_fitting(
                    bucket,
                    need,
                    half_limit,
                    tie_break,
                    &mut misses_left,
                    &mut found,
                )
            });
            let mut misses_left = MAX_MISSES;
            self.visit_buckets(accelerator_group, need, true, |bucket| {
                self.collect_fitting(bucket, need, limit, tie_break, &mut misses_left, &mut found)
            });
            // Workers with accelerators are used only if no other worker fits.
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    /// Largest free amount of each resource over all schedulable workers.
    pub(crate) fn largest_free(&self) -> Resources {
        self.slots
            .iter()
            .filter(|s| s.schedulable)
            .fold(Resources::ZERO, |a, s| a.max(&s.free))
    }

    /// Moves a worker to the bucket of its free capacity.
    fn reindex(&mut self, worker: usize) {
        if let Some((bucket, position)) = self.slots[worker].bucket.take() {
            self.buckets[bucket].swap_remove(position);
            if let Some(&moved) = self.buckets[bucket].get(position) {
                self.slots[moved as usize].bucket = Some((bucket, position));
            }
            if self.buckets[bucket].is_empty() {
                self.row_masks[bucket / SIZE_CLASSES] &= !(1 << (bucket % SIZE_CLASSES));
            }
        }
        let slot = &self.slots[worker];
        if slot.schedulable {
            let row =
                usize::from(slot.free.accelerators > 0) * SIZE_CLASSES + cpu_class(&slot.free);
            let bucket = row * SIZE_CLASSES + memory_class(&slot.free);
            self.slots[worker].bucket = Some((bucket, self.buckets[bucket].len()));
            // A shard has far fewer than 2^32 workers.
            self.buckets[bucket].push(worker as u32);
            self.row_masks[row] |= 1 << (bucket % SIZE_CLASSES);
        }
    }

    /// Visits the buckets whose workers may fit `need`, in ascending or descending
    /// order of size class, until `visit` returns `false`.
    fn visit_buckets(
        &self,
        accelerator_group: usize,
        need: &Resources,
        descending: bool,
        mut visit: impl FnMut(&[u32]) -> bool,
    ) {
        let (first, memory) = (cpu_class(need), memory_class(need));
        for step in first..SIZE_CLASSES {
            let size_class = if descending {
                SIZE_CLASSES - 1 - (step - first)
            } else {
                step
            };
            let row = accelerator_group * SIZE_CLASSES + size_class;
            let mut mask = self.row_masks[row] >> memory << memory;
            while mask != 0 {
                let bit = if descending {
                    31 - mask.leading_zeros()
                } else {
                    mask.trailing_zeros()
                };
                mask &= !(1 << bit);
                if !visit(&self.buckets[row * SIZE_CLASSES + bit as usize]) {
                    return;
                }
            }
        }
    }

    /// Adds the workers of one bucket that fit `need` to `found`. Returns whether to
    /// continue with the next bucket.
    fn collect_fitting(
        &self,
        bucket: &[u32],
        need: &Resources,
        limit: usize,
        tie_break: u64,
        misses_left: &mut usize,
        found: &mut Vec<usize>,
    ) -> bool {
        // One bucket gets at most a quarter of the examinations, since buckets of the
        // request's own classes may contain many workers that are slightly too small.
        let start = (tie_break % bucket.len().max(1) as u64) as usize;
        let order = bucket[start..].iter().chain(&bucket[..start]);
        for &worker in order.take(MAX_MISSES / 4) {
            if found.len() >= limit {
                return false;
            }
            let worker = worker as usize;
            if need.fits(&self.slots[worker].free) {
                if !found.contains(&worker) {
                    found.push(worker);
                }
            } else {
                *misses_left = misses_left.saturating_sub(1);
            }
        }
        found.len() < limit && *misses_left > 0
    }

    /// Returns all schedulable workers that fit `need`, in linear time. Used when the
    /// bounded search finds no acceptable worker.
    pub(crate) fn search_linear(&self, need: &Resources) -> Vec<usize> {
        let fits = |s: &WorkerSlot| s.schedulable && need.fits(&s.free);
        (0..self.slots.len())
            .filter(|&i| fits(&self.slots[i]))
            .collect()
    }
}

fn size_class(value: u64, base: u64) -> usize {
    let units = value / base;
    if units == 0 {
        return 0;
    }
    let doublings = units.ilog2() as usize;
    // The upper half of a doubling should start at the square root of two; 1.5 is an
    // approximation that needs only one bit.
    let upper_half = usize::from(units >> doublings.saturating_sub(1) & 1 == 1 && doublings > 0);
    (1 + 2 * doublings + upper_half).min(SIZE_CLASSES - 1)
}

fn cpu_class(amount: &Resources) -> usize {
    size_class(amount.cpu.0, CPU_CLASS_MILLICORES)
}

fn memory_class(amount: &Resources) -> usize {
    size_class(amount.memory.0, MEMORY_CLASS_BYTES)
}
