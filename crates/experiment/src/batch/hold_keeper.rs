//! Holds workers for tasks that find no room.

use crate::PolicyFeature;
use crate::PolicySet;
use sapphirestile_core::JobName;
use sapphirestile_placement::HOLD_AFTER_MS;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RoomPolicy;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::WorkerRoom;
use sapphirestile_placement::choose_held_worker;
use sapphirestile_placement::choose_victims;

/// Only a task of this part of a worker is hard to fit, as a divisor.
const LARGE_DIVISOR: u64 = 4;

/// Holds workers for large tasks and for urgent ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct HoldKeeper {
    holds: bool,
    preempts: bool,
}

impl HoldKeeper {
    /// Holds as `policy` says.
    pub(super) fn new(policy: &PolicySet) -> Self {
        Self {
            holds: policy.has(PolicyFeature::HeldWorker),
            preempts: policy.has(PolicyFeature::Preemption),
        }
    }

    /// Holds a worker for a large task of `job` that has waited long.
    pub(super) fn hold(
        self,
        rooms: &mut [WorkerRoom],
        request: &PlacementRequest<'_>,
        job: &JobName,
        waited_ms: u64,
        policy: &RoomPolicy,
    ) {
        let taken = rooms.iter().any(|room| room.held_for.is_some());
        let small = request.size.cpu_milli * LARGE_DIVISOR < rooms[0].size.cpu_milli;
        let in_quota = request.size.fits_in(&request.customer.left());
        if !self.holds || taken || small || !in_quota || waited_ms < HOLD_AFTER_MS {
            return;
        }
        if let Some(worker) = choose_held_worker(rooms, request, policy) {
            rooms[worker].held_for = Some(job.clone());
        }
    }

    /// Whether an urgent task of `job` may have others stopped.
    pub(super) fn may_preempt(self, rooms: &[WorkerRoom], job: &JobName) -> bool {
        self.preempts && !rooms.iter().any(|room| room.held_for.as_ref() == Some(job))
    }

    /// Chooses tasks to stop and holds their worker for `job`.
    pub(super) fn preempt(
        rooms: &mut [WorkerRoom],
        running: &[RunningTask],
        request: &PlacementRequest<'_>,
        job: &JobName,
        policy: &RoomPolicy,
    ) -> Vec<usize> {
        let Some(choice) = choose_victims(rooms, running, request, policy) else {
            return Vec::new();
        };
        rooms[choice.worker].held_for = Some(job.clone());
        choice.tasks
    }

    /// Drops the holds of jobs that `keep` does not name.
    pub(super) fn drop_holds(rooms: &mut [WorkerRoom], keep: impl Fn(&JobName) -> bool) {
        for room in rooms {
            room.held_for = room.held_for.take().filter(&keep);
        }
    }
}
