//! Several simulated cells that lend shares of one quota.

mod run_owners;
mod send_messages;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use sapphirestile_cells::ArraySpec;
use sapphirestile_cells::CellMap;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

use crate::event_queue::EventQueue;
use crate::share_event::ShareEvent;
use crate::simulated_cell::SimulatedCell;

pub const CELLS: u16 = 5;
pub const QUOTA: ResourceSize = ResourceSize {
    cpu_milli: 20_000,
    memory_mb: 60_000,
    accelerators: 20,
};
const STEP_MS: u64 = 100;

/// Cells with their owners and journals, and the messages between them.
pub struct SimulatedCells {
    pub cells: Vec<SimulatedCell>,
    pub now: u64,
    /// Whether messages are lost, repeated and delayed, and owners are killed.
    pub injects_faults: bool,
    /// The quota in the current document.
    pub quota: ResourceSize,
    /// The limit that the tasks of all cells together must not exceed.
    pub bound: ResourceSize,
    /// The most that each cell had assigned at one time.
    pub peaks: Vec<ResourceSize>,
    pub kills: u32,
    pub repeats: u32,
    map: CellMap,
    rng: StdRng,
    queue: EventQueue,
}

impl SimulatedCells {
    pub fn new(seed: u64) -> Self {
        let map = CellMap::new(CELLS);
        let mut cells = Self {
            cells: map.cells().map(|_| SimulatedCell::default()).collect(),
            now: 10_000,
            injects_faults: true,
            quota: QUOTA,
            bound: QUOTA,
            peaks: vec![ResourceSize::default(); usize::from(CELLS)],
            kills: 0,
            repeats: 0,
            map,
            rng: StdRng::seed_from_u64(seed),
            queue: EventQueue::default(),
        };
        for cell in map.cells() {
            cells.cell_mut(cell).claim(cell);
            cells.push_within(STEP_MS, ShareEvent::Step(cell));
        }
        cells
    }

    /// Advances virtual time by `millis`.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((time, event)) = self.queue.pop_until(end) {
            self.now = time;
            self.handle(event);
            self.check();
        }
        self.now = end;
    }

    /// Submits a job to a cell, once the cell has an owner.
    pub fn submit(&mut self, cell: CellNumber, job: &str, tasks: u32) {
        while self.cell_mut(cell).owner.is_none() {
            self.run(STEP_MS);
        }
        let spec = ArraySpec {
            job: JobName::try_from(job).unwrap(),
            customer: customer(),
            tasks,
            size: ResourceSize {
                cpu_milli: 1_000,
                memory_mb: 1_000,
                accelerators: 1,
            },
            run_ms: self.rng.random_range(1_000..6_000),
            urgent: false,
            zones: Vec::new(),
        };
        let owner = self.cell_mut(cell).owner.as_mut().unwrap();
        owner.submit_job(&spec).unwrap();
    }

    pub fn cell_mut(&mut self, cell: CellNumber) -> &mut SimulatedCell {
        &mut self.cells[usize::from(cell.get())]
    }

    pub fn random_cell(&mut self) -> CellNumber {
        CellNumber::new(self.rng.random_range(0..CELLS))
    }

    pub fn lender(&self) -> CellNumber {
        self.map.lender_of(customer().as_str())
    }

    pub fn open_tasks(&self) -> u32 {
        self.cells.iter().map(SimulatedCell::open_tasks).sum()
    }

    pub fn entries(&self) -> u64 {
        self.cells.iter().map(|simulated| simulated.entries).sum()
    }

    /// The shares that borrowers hold according to the lender's journal.
    pub fn lent_out(&mut self) -> ResourceSize {
        let lender = self.lender();
        self.cell_mut(lender).journal.lent_out(&customer())
    }

    fn handle(&mut self, event: ShareEvent) {
        match event {
            ShareEvent::Step(cell) => self.step(cell),
            ShareEvent::Committed(cell, incarnation, entry) => {
                self.settle_commit(cell, incarnation, &entry);
            }
            ShareEvent::Reported(report) => self.report(&report),
            ShareEvent::Answered(cell, lender, answers) => self.answer(cell, lender, &answers),
            ShareEvent::TimedOut(cell, lender) => {
                if let Some(owner) = &mut self.cell_mut(cell).owner {
                    owner.share_report_lost(lender);
                }
            }
            ShareEvent::Claim(cell) => self.cell_mut(cell).claim(cell),
        }
    }

    /// Checks that all journals together stay within the quota, and that neither side of a
    /// pair has recorded more than the other side's journal holds.
    fn check(&mut self) {
        let lender = self.lender();
        let used = self
            .cells
            .iter()
            .fold(ResourceSize::default(), |sum, simulated| {
                sum.plus(&simulated.assigned())
            });
        let bound = &self.bound;
        assert!(
            used.fits_in(bound),
            "{used:?} is used, the limit is {bound:?}"
        );
        for cell in self.map.cells().filter(|cell| *cell != lender) {
            let lent = self.cell_mut(lender).journal.lent_to(&customer(), cell);
            let borrowed = self
                .cell_mut(cell)
                .journal
                .borrowed()
                .get(&customer())
                .copied();
            let known = borrowed.unwrap_or_default();
            assert!(
                lent.lent.reaches(&known.lent),
                "cell {cell} recorded more borrowed than was lent"
            );
            assert!(
                known.returned.reaches(&lent.returned),
                "the lender recorded more returned than cell {cell} returned"
            );
        }
        for (peak, simulated) in self.peaks.iter_mut().zip(&self.cells) {
            *peak = peak.at_least(&simulated.assigned());
        }
    }

    /// Schedules an event at a random time within `millis` from now.
    fn push_within(&mut self, millis: u64, event: ShareEvent) {
        let time = self.now + self.rng.random_range(1..=millis);
        self.queue.push(time, event);
    }
}

pub fn customer() -> CustomerName {
    CustomerName::try_from("tailors").unwrap()
}
