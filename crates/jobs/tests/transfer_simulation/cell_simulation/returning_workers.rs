//! Workers that leave in all cells, and come back in a few.

use rand::Rng;

use super::CellSimulation;
use super::WORKERS_PER_CELL;

/// When the workers leave, in milliseconds.
const LEAVE_MS: u64 = 8_000;

/// When some come back, in milliseconds.
const RETURN_MS: u64 = 22_000;

/// Number of workers of each cell that leave.
const LEAVING_PER_CELL: usize = 2;

/// Number of cells whose workers come back.
const RETURNING_CELLS: usize = 2;

impl CellSimulation {
    pub(super) fn bring_workers_back(&mut self) {
        match self.now {
            LEAVE_MS => self.leave_in_all_cells(),
            RETURN_MS => self.return_in_some_cells(),
            _ => {}
        }
    }

    fn leave_in_all_cells(&mut self) {
        for cell in 0..self.mixture.cells {
            for worker in 0..LEAVING_PER_CELL {
                self.leave(cell * WORKERS_PER_CELL + worker);
            }
        }
    }

    fn return_in_some_cells(&mut self) {
        let first = self.random.random_range(0..self.mixture.cells);
        for cell in (first..).take(RETURNING_CELLS) {
            let cell = cell % self.mixture.cells;
            for worker in 0..LEAVING_PER_CELL {
                let worker = cell * WORKERS_PER_CELL + worker;
                self.leaving.remove(&worker);
                self.workers[worker].crash(self.now, 0);
            }
        }
    }

    /// Records for how long tasks search while a worker has room.
    pub(super) fn check_searches(&mut self) {
        self.note_room();
        if self.now < RETURN_MS {
            return;
        }
        let since = self.room_since.values().copied();
        let searches = since.map(|since| self.now - since.max(RETURN_MS));
        let longest = searches.max().unwrap_or_default();
        self.longest_search_ms = self.longest_search_ms.max(longest);
    }

    /// Checks that tasks waited until workers came back, and then searched for no longer than
    /// `bound_ms`.
    pub fn check_longest_search(&self, bound_ms: u64) {
        let longest_ms = self.longest_search_ms;
        assert!(longest_ms > 0, "seed {}: no task waited", self.seed);
        assert!(
            longest_ms <= bound_ms,
            "seed {}: a task was idle for {longest_ms} ms with room on a worker, expected \
             {bound_ms} ms at most",
            self.seed
        );
    }
}
