//! Processor time of starting tasks, step by step.

use crate::fixtures::CellFixture;
use crate::processor::cell_times::time_plan;
use crate::report::nanos_per_unit;

/// Approximate number of tasks that a cell starts between two commits at peak load: 630
/// starts/s over 64 cells, with one commit each 250 ms.
const STARTS: u32 = 3;
/// Index of the first submitted job, above those of the fixture.
const FIRST_JOB: usize = 700_000;

/// Nanoseconds of each step from planning waiting tasks to their journal entry.
pub struct StartTimes {
    /// Planning run.
    pub planning: u128,
    /// Taking the batch of planned starts, and settling it.
    pub settling: u128,
    /// Cloning the snapshot that belongs to the batch; 0 when the plan started nothing.
    pub cloning: u128,
    /// Encoding that snapshot; 0 when the plan started nothing.
    pub encoding: u128,
}

impl StartTimes {
    /// Submits and starts new tasks in `fixture`. Each call needs another `round`, which
    /// makes the job name unique.
    pub fn measure(fixture: &mut CellFixture, round: usize) -> Self {
        fixture.submit(FIRST_JOB + round, STARTS);
        fixture.commit();
        let planning = time_plan(fixture);
        let nonce = u64::try_from(round).expect("the round fits u64");
        let mut times = Self {
            planning,
            settling: nanos_per_unit(1, || fixture.owner.take_batch(nonce).is_some()),
            cloning: 0,
            encoding: 0,
        };
        if fixture.owner.has_entry_in_flight() {
            times.cloning = nanos_per_unit(1, || fixture.owner.snapshot_in_flight());
            let state = fixture.owner.snapshot_in_flight();
            times.encoding = nanos_per_unit(1, || postcard::to_stdvec(&state));
            times.settling += nanos_per_unit(1, || fixture.settle());
        }
        times
    }
}
