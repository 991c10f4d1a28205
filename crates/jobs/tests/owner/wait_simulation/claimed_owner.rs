//! An owner that has claimed the cell of a simulation.

use sapphirestile_jobs::LearntCoefficient;
use sapphirestile_jobs::LearntTables;
use sapphirestile_jobs::LeaseBounds;
use sapphirestile_jobs::WorkerEntry;

use crate::owner_fixture::OwnerFixture;
use crate::wait_simulation::simulated_worker::LOWEST_MS;
use crate::wait_simulation::simulated_worker::SimulatedWorker;

/// An owner that claims the cell, to which an earlier one has left what it learnt.
pub fn claim(now: u64, workers: &[SimulatedWorker], expected_load: f64) -> OwnerFixture {
    let entries: Vec<WorkerEntry> = workers.iter().map(|worker| worker.entry.clone()).collect();
    let mut fixture = OwnerFixture::claimed_at(now, LeaseBounds::unstated(), entries);
    fixture.owner.restore_learnt(&LearntTables {
        coefficients: vec![LearntCoefficient {
            best_effort: "resize".into(),
            serving: "desk".into(),
            load: expected_load,
            measurements: 100,
        }],
        lowest_ms: vec![("desk".into(), LOWEST_MS)],
        ..LearntTables::default()
    });
    fixture
}
