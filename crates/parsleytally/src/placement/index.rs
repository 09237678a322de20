//! Grid of workers by free processors and memory.
//!
//! Each dimension is cut into levels that double. A worker lies in one cell, and a
//! search visits only the cells at or above the level of the need, so that its cost
//! depends on the grid and not on the number of workers.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::Resources;

/// Levels per dimension.
const LEVELS: usize = 16;
/// Upper bound of the lowest level, in thousandths of a processor.
const CPU_UNIT: u64 = 63;
/// Upper bound of the lowest level, in bytes.
const MEMORY_UNIT: u64 = 32 << 20;
/// A worker that lies in no cell.
const NOWHERE: u32 = u32::MAX;

/// Where a worker lies.
#[derive(Debug, Clone, Copy)]
struct Spot {
    cell: u32,
    slot: u32,
}

/// Workers by their free room.
#[derive(Debug)]
pub(super) struct Index {
    cells: Vec<Vec<u32>>,
    filled: [u16; 2 * LEVELS],
    spots: Vec<Spot>,
}

fn level(amount: u64, unit: u64) -> usize {
    let steps = (amount / unit)
        .checked_ilog2()
        .map_or(0, |l| l as usize + 1);
    steps.min(LEVELS - 1)
}

impl Index {
    pub(super) fn new() -> Self {
        Self {
            cells: vec![Vec::new(); 2 * LEVELS * LEVELS],
            filled: [0; 2 * LEVELS],
            spots: Vec::new(),
        }
    }

    /// Moves a worker to the cell of its free room, or out of the grid.
    pub(super) fn put(&mut self, worker: usize, free: Option<&Resources>) {
        if self.spots.len() <= worker {
            let nowhere = Spot {
                cell: NOWHERE,
                slot: 0,
            };
            self.spots.resize(worker + 1, nowhere);
        }
        let cell = free.map_or(NOWHERE, cell_of);
        if self.spots[worker].cell == cell {
            return;
        }
        self.remove(worker);
        if cell != NOWHERE {
            self.insert(worker, cell);
        }
    }

    fn insert(&mut self, worker: usize, cell: u32) {
        let list = &mut self.cells[cell as usize];
        let slot = list.len() as u32;
        list.push(worker as u32);
        self.spots[worker] = Spot { cell, slot };
        self.filled[cell as usize / LEVELS] |= 1 << (cell as usize % LEVELS);
    }

    fn remove(&mut self, worker: usize) {
        let Spot { cell, slot } = self.spots[worker];
        if cell == NOWHERE {
            return;
        }
        let list = &mut self.cells[cell as usize];
        list.swap_remove(slot as usize);
        if let Some(&moved) = list.get(slot as usize) {
            self.spots[moved as usize].slot = slot;
        }
        if list.is_empty() {
            self.filled[cell as usize / LEVELS] &= !(1 << (cell as usize % LEVELS));
        }
        self.spots[worker].cell = NOWHERE;
    }

    /// Offers workers that may hold `need` until `accept` has had enough.
    ///
    /// Cells take turns, so that tight and roomy workers are both among the first;
    /// within a cell the order starts at a random place. `accept` returns whether it
    /// wants more. At most `limit` workers are offered.
    pub(super) fn offer(
        &self,
        need: &Resources,
        limit: usize,
        rng: &mut SmallRng,
        mut accept: impl FnMut(usize) -> bool,
    ) {
        let mut turns = self.turns(need, rng);
        let mut left = limit;
        let mut step = 0;
        while !turns.is_empty() {
            let mut at = 0;
            while at < turns.len() {
                let (cell, start) = turns[at];
                let list = &self.cells[cell];
                if step >= list.len() {
                    turns.swap_remove(at);
                    continue;
                }
                let worker = list[(start + step) % list.len()];
                if left == 0 || !accept(worker as usize) {
                    return;
                }
                left -= 1;
                at += 1;
            }
            step += 1;
        }
    }

    /// Filled cells at or above the level of `need`, each with a random start.
    fn turns(&self, need: &Resources, rng: &mut SmallRng) -> Vec<(usize, usize)> {
        let cpu = level(need.cpu.0, CPU_UNIT);
        let memory = level(need.memory.0, MEMORY_UNIT);
        let first_pool = usize::from(need.accelerators > 0);
        let mut turns = Vec::new();
        for row in (first_pool..2).flat_map(|pool| (cpu..LEVELS).map(move |c| pool * LEVELS + c)) {
            let mut bits = self.filled[row] >> memory << memory;
            while bits != 0 {
                let column = bits.trailing_zeros() as usize;
                bits &= bits - 1;
                let cell = row * LEVELS + column;
                turns.push((cell, rng.random_range(0..self.cells[cell].len())));
            }
        }
        turns
    }
}

fn cell_of(free: &Resources) -> u32 {
    let pool = usize::from(free.accelerators > 0);
    let cpu = level(free.cpu.0, CPU_UNIT);
    let memory = level(free.memory.0, MEMORY_UNIT);
    ((pool * LEVELS + cpu) * LEVELS + memory) as u32
}
