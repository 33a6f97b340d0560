//! Workers by what is free on them.
//!
//! Workers stand in cells by the order of magnitude of their free processor time
//! and memory. A search visits only cells that can hold the request, so its cost
//! depends on the number of cells and not on the number of workers.

use crate::model::Resources;

/// Classes of each resource; each is half a doubling.
const CLASSES: usize = 24;

/// Free amounts below these are all in class 0: 125 millicores and 64 MiB.
const CPU_BASE: u64 = 125;
const MEMORY_BASE: u64 = 64 << 20;

/// Workers that one search may look at without finding room. Beyond it, the
/// workers in cells of the request's own classes are left out.
const LOOKS: usize = 64;

#[derive(Debug, Clone, Default)]
struct Slot {
    free: Resources,
    usable: Resources,
    /// Whether tasks may be placed on the worker.
    open: bool,
    /// Its cell and the position in it.
    cell: Option<(usize, usize)>,
}

/// Free room of the workers of one shard, by their position in the shard.
#[derive(Debug, Default)]
pub(crate) struct Index {
    slots: Vec<Slot>,
    cells: Vec<Vec<u32>>,
    /// For each row of cells, which are not empty.
    rows: Vec<u32>,
}

impl Index {
    /// An index of `count` workers without room.
    pub(crate) fn new(count: usize) -> Self {
        Self {
            slots: vec![Slot::default(); count],
            cells: vec![Vec::new(); 2 * CLASSES * CLASSES],
            rows: vec![0; 2 * CLASSES],
        }
    }

    /// Number of workers.
    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    /// What is free on a worker.
    pub(crate) fn free(&self, worker: usize) -> Resources {
        self.slots[worker].free
    }

    /// What tasks may use altogether on a worker.
    pub(crate) fn usable(&self, worker: usize) -> Resources {
        self.slots[worker].usable
    }

    /// Whether tasks may be placed on a worker.
    pub(crate) fn is_open(&self, worker: usize) -> bool {
        self.slots[worker].open
    }

    /// Sets the state of a worker.
    pub(crate) fn set(&mut self, worker: usize, free: Resources, usable: Resources, open: bool) {
        let slot = &mut self.slots[worker];
        slot.usable = usable;
        if slot.free == free && slot.open == open {
            return;
        }
        slot.free = free;
        slot.open = open;
        self.place(worker);
    }

    /// Takes room on a worker. Returns `false` and changes nothing if it isn't there.
    pub(crate) fn take(&mut self, worker: usize, amount: &Resources) -> bool {
        let slot = &mut self.slots[worker];
        if !amount.fits(&slot.free) {
            return false;
        }
        slot.free = slot.free.saturating_sub(amount);
        self.place(worker);
        true
    }

    /// Up to `most` open workers with room for `need`: half of them with the
    /// least room, which keeps room for large tasks, and half with the most,
    /// which gives a choice between neighbours. `salt` varies the choice among
    /// equals.
    pub(crate) fn search(&self, need: &Resources, most: usize, salt: u64) -> Vec<usize> {
        let mut found = Vec::with_capacity(most);
        let halves: &[usize] = if need.accelerators > 0 { &[1] } else { &[0, 1] };
        for &half in halves {
            let mut looks = LOOKS;
            let want = most - (most - found.len()) / 2;
            self.visit(half, need, false, |cell| {
                self.gather(cell, need, want, salt, &mut looks, &mut found)
            });
            let mut looks = LOOKS;
            self.visit(half, need, true, |cell| {
                self.gather(cell, need, most, salt, &mut looks, &mut found)
            });
            // Workers with accelerators are kept for tasks that need them.
            if !found.is_empty() {
                break;
            }
        }
        found
    }

    /// The largest free amounts on one open worker, resource by resource.
    pub(crate) fn largest(&self) -> Resources {
        self.slots
            .iter()
            .filter(|s| s.open)
            .fold(Resources::ZERO, |a, s| a.max(&s.free))
    }

    fn place(&mut self, worker: usize) {
        if let Some((cell, position)) = self.slots[worker].cell.take() {
            self.cells[cell].swap_remove(position);
            if let Some(&moved) = self.cells[cell].get(position) {
                self.slots[moved as usize].cell = Some((cell, position));
            }
            if self.cells[cell].is_empty() {
                self.rows[cell / CLASSES] &= !(1 << (cell % CLASSES));
            }
        }
        let slot = &self.slots[worker];
        if slot.open {
            let row = usize::from(slot.free.accelerators > 0) * CLASSES + cpu_class(&slot.free);
            let cell = row * CLASSES + memory_class(&slot.free);
            self.slots[worker].cell = Some((cell, self.cells[cell].len()));
            // A shard has far fewer than 2^32 workers.
            self.cells[cell].push(worker as u32);
            self.rows[row] |= 1 << (cell % CLASSES);
        }
    }

    /// Visits the cells that may hold `need` until `visit` returns `false`.
    fn visit(
        &self,
        half: usize,
        need: &Resources,
        loose: bool,
        mut visit: impl FnMut(&[u32]) -> bool,
    ) {
        let (first, memory) = (cpu_class(need), memory_class(need));
        for step in first..CLASSES {
            let class = if loose {
                CLASSES - 1 - (step - first)
            } else {
                step
            };
            let row = half * CLASSES + class;
            let mut mask = self.rows[row] >> memory << memory;
            while mask != 0 {
                let bit = if loose {
                    31 - mask.leading_zeros()
                } else {
                    mask.trailing_zeros()
                };
                mask &= !(1 << bit);
                if !visit(&self.cells[row * CLASSES + bit as usize]) {
                    return;
                }
            }
        }
    }

    /// Adds workers of one cell that have room. Returns whether to go on.
    fn gather(
        &self,
        cell: &[u32],
        need: &Resources,
        most: usize,
        salt: u64,
        looks: &mut usize,
        found: &mut Vec<usize>,
    ) -> bool {
        // At most a quarter of the looks goes to one cell: the cells of the
        // request's own classes may hold many workers that are just too small.
        let start = (salt % cell.len().max(1) as u64) as usize;
        let order = cell[start..].iter().chain(&cell[..start]);
        for &worker in order.take(LOOKS / 4) {
            if found.len() >= most {
                return false;
            }
            let worker = worker as usize;
            if need.fits(&self.slots[worker].free) {
                if !found.contains(&worker) {
                    found.push(worker);
                }
            } else {
                *looks = looks.saturating_sub(1);
            }
        }
        found.len() < most && *looks > 0
    }

    /// All open workers with room for `need`; linear. For urgent work when the
    /// bounded search found nothing.
    pub(crate) fn search_all(&self, need: &Resources) -> Vec<usize> {
        let fits = |s: &Slot| s.open && need.fits(&s.free);
        (0..self.slots.len())
            .filter(|&i| fits(&self.slots[i]))
            .collect()
    }
}

fn class(value: u64, base: u64) -> usize {
    let units = value / base;
    if units == 0 {
        return 0;
    }
    let whole = units.ilog2() as usize;
    // The upper half of a doubling starts at its square root of two, here 1.5.
    let half = usize::from(units >> whole.saturating_sub(1) & 1 == 1 && whole > 0);
    (1 + 2 * whole + half).min(CLASSES - 1)
}

fn cpu_class(amount: &Resources) -> usize {
    class(amount.cpu.0, CPU_BASE)
}

fn memory_class(amount: &Resources) -> usize {
    class(amount.memory.0, MEMORY_BASE)
}
