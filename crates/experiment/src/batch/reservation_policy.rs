//! Reservations of workers for tasks that do not fit anywhere.

use crate::PolicyFeature;
use crate::PolicyVariant;
use sapphirestile_core::JobName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RESERVE_AFTER_MS;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::choose_reserved_worker;
use sapphirestile_placement::choose_victims;

/// Only a task that needs at least this part of a worker, given as a divisor, is
/// hard to fit.
const LARGE_DIVISOR: u64 = 4;

/// Decides on reservations of workers for large tasks and for urgent ones.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReservationPolicy {
    reserves: bool,
    preempts: bool,
}

impl ReservationPolicy {
    /// Enables reservations and preemption as `policy` says.
    pub(super) fn new(policy: &PolicyVariant) -> Self {
        Self {
            reserves: policy.has(PolicyFeature::WorkerReservation),
            preempts: policy.has(PolicyFeature::Preemption),
        }
    }

    /// Reserves a worker for a large task of `job` that has waited long, unless some
    /// worker is reserved already.
    pub(super) fn reserve(
        self,
        candidates: &mut [CandidateWorker],
        request: &PlacementRequest<'_>,
        job: &JobName,
        waited_ms: u64,
        policy: &PlacementPolicy,
    ) {
        let is_reserved = candidates
            .iter()
            .any(|candidate| candidate.reserved_for.is_some());
        let is_small = request.size.cpu_milli * LARGE_DIVISOR < candidates[0].size.cpu_milli;
        let is_in_quota = request.size.fits_in(&request.customer.remaining());
        if !self.reserves || is_reserved || is_small || !is_in_quota || waited_ms < RESERVE_AFTER_MS
        {
            return;
        }
        if let Some(worker) = choose_reserved_worker(candidates, request, policy) {
            candidates[worker].reserved_for = Some(job.clone());
        }
    }

    /// Whether other tasks may be stopped for an urgent task of `job`: not while a
    /// worker is reserved for the job already.
    pub(super) fn may_preempt(self, candidates: &[CandidateWorker], job: &JobName) -> bool {
        self.preempts
            && !candidates
                .iter()
                .any(|candidate| candidate.reserved_for.as_ref() == Some(job))
    }

    /// Chooses tasks to stop and reserves their worker for `job`. Returns their
    /// positions in `running`; none if stopping tasks does not help.
    pub(super) fn preempt(
        candidates: &mut [CandidateWorker],
        running: &[RunningTask],
        request: &PlacementRequest<'_>,
        job: &JobName,
        policy: &PlacementPolicy,
    ) -> Vec<usize> {
        let Some(choice) = choose_victims(candidates, running, request, policy) else {
            return Vec::new();
        };
        candidates[choice.worker_index].reserved_for = Some(job.clone());
        choice.tasks
    }

    /// Clears the reservations of jobs for which `is_kept` is false.
    pub(super) fn clear_reservations(
        candidates: &mut [CandidateWorker],
        is_kept: impl Fn(&JobName) -> bool,
    ) {
        for candidate in candidates {
            candidate.reserved_for = candidate.reserved_for.take().filter(&is_kept);
        }
    }
}
