//! Several cells that lend shares of one quota among each other.

mod keep_cells;
mod pass_messages;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use sapphirestile_cells::CellMap;
use sapphirestile_cells::JobOrder;
use sapphirestile_core::CellNumber;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;

use crate::event_queue::EventQueue;
use crate::share_event::ShareEvent;
use crate::share_seat::ShareSeat;

pub const CELLS: u16 = 5;
pub const QUOTA: ResourceSize = ResourceSize {
    cpu_milli: 20_000,
    memory_mb: 60_000,
    accelerators: 20,
};
const STEP_MS: u64 = 100;

/// Owners of cells, their journals and the messages between them.
pub struct ShareWorld {
    pub seats: Vec<ShareSeat>,
    pub now: u64,
    /// Whether messages get lost, repeated and late, and owners die.
    pub faulty: bool,
    /// The quota of the document in force.
    pub quota: ResourceSize,
    /// What the tasks of all cells together never take more than.
    pub bound: ResourceSize,
    /// The most that each cell had assigned at a time.
    pub peaks: Vec<ResourceSize>,
    pub kills: u32,
    pub repeats: u32,
    map: CellMap,
    rng: StdRng,
    queue: EventQueue,
}

impl ShareWorld {
    pub fn new(seed: u64) -> Self {
        let map = CellMap::new(CELLS);
        let mut world = Self {
            seats: map.cells().map(|_| ShareSeat::default()).collect(),
            now: 10_000,
            faulty: true,
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
            world.seat(cell).claim(cell);
            world.push_within(STEP_MS, ShareEvent::Step(cell));
        }
        world
    }

    /// Runs on for `millis` of virtual time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while let Some((time, event)) = self.queue.pop_until(end) {
            self.now = time;
            self.take(event);
            self.check();
        }
        self.now = end;
    }

    /// Submits a job to a cell, as soon as it has an owner.
    pub fn submit(&mut self, cell: CellNumber, job: &str, tasks: u32) {
        while self.seat(cell).owner.is_none() {
            self.run(STEP_MS);
        }
        let order = JobOrder {
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
        let owner = self.seat(cell).owner.as_mut().unwrap();
        owner.submit_job(&order).unwrap();
    }

    pub fn seat(&mut self, cell: CellNumber) -> &mut ShareSeat {
        &mut self.seats[usize::from(cell.get())]
    }

    pub fn draw_cell(&mut self) -> CellNumber {
        CellNumber::new(self.rng.random_range(0..CELLS))
    }

    pub fn lender(&self) -> CellNumber {
        self.map.lender_of(customer().as_str())
    }

    pub fn open_tasks(&self) -> u32 {
        self.seats.iter().map(ShareSeat::open_tasks).sum()
    }

    pub fn entries(&self) -> u64 {
        self.seats.iter().map(|seat| seat.entries).sum()
    }

    /// What borrowers hold by the lender's journal.
    pub fn lent_out(&mut self) -> ResourceSize {
        let lender = self.lender();
        self.seat(lender).journal.lent_out(&customer())
    }

    fn take(&mut self, event: ShareEvent) {
        match event {
            ShareEvent::Step(cell) => self.step(cell),
            ShareEvent::Land(cell, life, entry) => self.land(cell, life, &entry),
            ShareEvent::Reported(order) => self.report(&order),
            ShareEvent::Answered(cell, lender, answers) => self.answer(cell, lender, &answers),
            ShareEvent::GivenUp(cell, lender) => {
                if let Some(owner) = &mut self.seat(cell).owner {
                    owner.shares_lost(lender);
                }
            }
            ShareEvent::Claim(cell) => self.seat(cell).claim(cell),
        }
    }

    /// All that the journals say together keeps to the quota, and neither side of
    /// a pair knows more of the other than the other's journal says.
    fn check(&mut self) {
        let lender = self.lender();
        let used = self
            .seats
            .iter()
            .fold(ResourceSize::default(), |sum, seat| {
                sum.plus(&seat.assigned())
            });
        let bound = &self.bound;
        assert!(used.fits_in(bound), "{used:?} is used of {bound:?}");
        for cell in self.map.cells().filter(|cell| *cell != lender) {
            let said = self.seat(lender).journal.lent_to(&customer(), cell);
            let borrowed = self.seat(cell).journal.borrowed().get(&customer()).copied();
            let known = borrowed.unwrap_or_default();
            assert!(said.lent.reaches(&known.lent), "more was taken than lent");
            assert!(
                known.returned.reaches(&said.returned),
                "more was regained than returned"
            );
        }
        for (peak, seat) in self.peaks.iter_mut().zip(&self.seats) {
            *peak = peak.at_least(&seat.assigned());
        }
    }

    fn push_within(&mut self, millis: u64, event: ShareEvent) {
        let time = self.now + self.rng.random_range(1..=millis);
        self.queue.push(time, event);
    }
}

pub fn customer() -> CustomerName {
    CustomerName::try_from("tailors").unwrap()
}
