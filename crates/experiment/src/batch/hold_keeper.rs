//! Holds workers for tasks that find no room.

use crate::PolicyFeature;
use crate::PolicySet;
use sapphirestile_core::JobName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RESERVE_AFTER_MS;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::choose_reserved_worker;
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
        rooms: &mut [CandidateWorker],
        request: &PlacementRequest<'_>,
        job: &JobName,
        waited_ms: u64,
        policy: &PlacementPolicy,
    ) {
        let taken = rooms.iter().any(|room| room.reserved_for.is_some());
        let small = request.size.cpu_milli * LARGE_DIVISOR < rooms[0].size.cpu_milli;
        let in_quota = request.size.fits_in(&request.customer.remaining());
        if !self.holds || taken || small || !in_quota || waited_ms < RESERVE_AFTER_MS {
            return;
        }
        if let Some(worker) = choose_reserved_worker(rooms, request, policy) {
            rooms[worker].reserved_for = Some(job.clone());
        }
    }

    /// Whether an urgent task of `job` may have others stopped.
    pub(super) fn may_preempt(self, rooms: &[CandidateWorker], job: &JobName) -> bool {
        self.preempts
            && !rooms
                .iter()
                .any(|room| room.reserved_for.as_ref() == Some(job))
    }

    /// Chooses tasks to stop and holds their worker for `job`.
    pub(super) fn preempt(
        rooms: &mut [CandidateWorker],
        running: &[RunningTask],
        request: &PlacementRequest<'_>,
        job: &JobName,
        policy: &PlacementPolicy,
    ) -> Vec<usize> {
        let Some(choice) = choose_victims(rooms, running, request, policy) else {
            return Vec::new();
        };
        rooms[choice.worker_index].reserved_for = Some(job.clone());
        choice.tasks
    }

    /// Drops the holds of jobs that `keep` does not name.
    pub(super) fn drop_holds(rooms: &mut [CandidateWorker], keep: impl Fn(&JobName) -> bool) {
        for room in rooms {
            room.reserved_for = room.reserved_for.take().filter(&keep);
        }
    }
}
