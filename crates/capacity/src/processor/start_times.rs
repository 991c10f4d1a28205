//! The times of starting tasks.

use crate::processor::cell_times::plan;
use crate::report::nanos_of;
use crate::scenes::CellScene;

/// About what a cell starts between two commits at the peak: 630 starts a second
/// over 64 cells, a commit each 250 ms.
const STARTS: u32 = 3;
const JOBS_FROM: usize = 700_000;

/// Nanoseconds of each step from a plan with tasks waiting to its journal entry.
pub struct StartTimes {
    /// The plan.
    pub planning: u128,
    /// Taking its batch, and settling it.
    pub settling: u128,
    /// Cloning the snapshot taken with the batch.
    pub cloning: u128,
    /// Encoding that snapshot.
    pub encoding: u128,
}

impl StartTimes {
    /// Starts a few new tasks of `scene`; `round` tells their job from others.
    pub fn measure(scene: &mut CellScene, round: usize) -> Self {
        scene.submit(JOBS_FROM + round, STARTS);
        scene.commit();
        let planning = plan(scene);
        let nonce = u64::try_from(round).expect("a count fits");
        let mut times = Self {
            planning,
            settling: nanos_of(1, || scene.owner.take_batch(nonce).is_some()),
            cloning: 0,
            encoding: 0,
        };
        if scene.owner.has_entry_in_flight() {
            times.cloning = nanos_of(1, || scene.owner.snapshot_in_flight());
            let state = scene.owner.snapshot_in_flight();
            times.encoding = nanos_of(1, || postcard::to_stdvec(&state));
            times.settling += nanos_of(1, || scene.settle());
        }
        times
    }
}
