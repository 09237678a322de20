//! Grid index of workers by free processors and memory.
//!
//! Each dimension is divided into levels whose bounds double. A worker is listed in
//! one cell, and a search visits only the cells at or above the level of the need, so
//! its cost depends on the grid and not on the number of workers. Workers with free
//! accelerators are kept in a second grid (pool 1).

use rand::Rng;
use rand::rngs::SmallRng;

use crate::types::Resources;

/// Levels per dimension.
const LEVELS: usize = 16;
/// Upper bound of the lowest level, in thousandths of a processor.
const CPU_UNIT: u64 = 63;
/// Upper bound of the lowest level, in bytes.
const MEMORY_UNIT: u64 = 32 << 20;
/// Cell of a worker that is not listed.
const NO_CELL: u32 = u32::MAX;

/// Cell of a worker and its position in the cell's list.
#[derive(Debug, Clone, Copy)]
struct Location {
    cell: u32,
    position: u32,
}

/// Workers by their free capacity.
#[derive(Debug)]
pub(super) struct Index {
    cells: Vec<Vec<u32>>,
    /// One row per pool and processor level, one bit per memory level.
    occupied: [u16; 2 * LEVELS],
    locations: Vec<Location>,
}

fn level_of(amount: u64, unit: u64) -> usize {
    let steps = (amount / unit)
        .checked_ilog2()
        .map_or(0, |l| l as usize + 1);
    steps.min(LEVELS - 1)
}

impl Index {
    pub(super) fn new() -> Self {
        Self {
            cells: vec![Vec::new(); 2 * LEVELS * LEVELS],
            occupied: [0; 2 * LEVELS],
            locations: Vec::new(),
        }
    }

    /// Moves a worker to the cell of its free capacity, or removes it for `None`.
    pub(super) fn set_free(&mut self, worker: usize, free: Option<&Resources>) {
        if self.locations.len() <= worker {
            let unlisted = Location {
                cell: NO_CELL,
                position: 0,
            };
            self.locations.resize(worker + 1, unlisted);
        }
        let cell = free.map_or(NO_CELL, cell_of);
        if self.locations[worker].cell == cell {
            return;
        }
        self.remove(worker);
        if cell != NO_CELL {
            self.insert(worker, cell);
        }
    }

    fn insert(&mut self, worker: usize, cell: u32) {
        let list = &mut self.cells[cell as usize];
        let position = list.len() as u32;
        list.push(worker as u32);
        self.locations[worker] = Location { cell, position };
        self.occupied[cell as usize / LEVELS] |= 1 << (cell as usize % LEVELS);
    }

    fn remove(&mut self, worker: usize) {
        let Location { cell, position } = self.locations[worker];
        if cell == NO_CELL {
            return;
        }
        let list = &mut self.cells[cell as usize];
        list.swap_remove(position as usize);
        if let Some(&moved) = list.get(position as usize) {
            self.locations[moved as usize].position = position;
        }
        if list.is_empty() {
            self.occupied[cell as usize / LEVELS] &= !(1 << (cell as usize % LEVELS));
        }
        self.locations[worker].cell = NO_CELL;
    }

    /// Visits at most `limit` workers that may fit `need`, until `visitor` returns false.
    ///
    /// Cells are visited round-robin, so that nearly full and nearly empty workers are
    /// both among the first; each cell's list is read from a random position.
    pub(super) fn visit(
        &self,
        need: &Resources,
        limit: usize,
        rng: &mut SmallRng,
        mut visitor: impl FnMut(usize) -> bool,
    ) {
        let mut cells = self.candidate_cells(need, rng);
        let mut remaining = limit;
        let mut step = 0;
        while !cells.is_empty() {
            let mut at = 0;
            while at < cells.len() {
                let (cell, start) = cells[at];
                let list = &self.cells[cell];
                if step >= list.len() {
                    cells.swap_remove(at);
                    continue;
                }
                let worker = list[(start + step) % list.len()];
                if remaining == 0 || !visitor(worker as usize) {
                    return;
                }
                remaining -= 1;
                at += 1;
            }
            step += 1;
        }
    }

    /// Non-empty cells at or above the level of `need`, each with a random start position.
    fn candidate_cells(&self, need: &Resources, rng: &mut SmallRng) -> Vec<(usize, usize)> {
        let cpu = level_of(need.cpu.0, CPU_UNIT);
        let memory = level_of(need.memory.0, MEMORY_UNIT);
        let first_pool = usize::from(need.accelerators > 0);
        let mut cells = Vec::new();
        for row in (first_pool..2).flat_map(|pool| (cpu..LEVELS).map(move |c| pool * LEVELS + c)) {
            let mut bits = self.occupied[row] >> memory << memory;
            while bits != 0 {
                let column = bits.trailing_zeros() as usize;
                bits &= bits - 1;
                let cell = row * LEVELS + column;
                cells.push((cell, rng.random_range(0..self.cells[cell].len())));
            }
        }
        cells
    }
}

fn cell_of(free: &Resources) -> u32 {
    let pool = usize::from(free.accelerators > 0);
    let cpu = level_of(free.cpu.0, CPU_UNIT);
    let memory = level_of(free.memory.0, MEMORY_UNIT);
    ((pool * LEVELS + cpu) * LEVELS + memory) as u32
}
