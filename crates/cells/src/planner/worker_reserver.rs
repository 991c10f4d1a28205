//! Reservation of a worker for large tasks.

use crate::planner::LargeReservation;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::choose_reserved_worker;

/// A reservation ends this long after the last plan in which its job did not fit.
const RESERVATION_MS: u64 = 10_000;
/// A task is large when it needs at least this fraction of a worker, as a divisor;
/// smaller ones soon find capacity.
const LARGE_DIVISOR: u64 = 4;

/// Reserves one worker at a time for a large task of the backlog that has waited long.
/// Otherwise small tasks would always take the capacity that becomes free.
#[derive(Clone, Debug, Default)]
pub struct WorkerReserver {
    reservation: Option<LargeReservation>,
}

impl WorkerReserver {
    /// Drops the reservation once it has ended, and marks the reserved worker.
    pub fn mark_reserved(&mut self, candidates: &mut [CandidateWorker], now: MonoTime) {
        self.reservation = self
            .reservation
            .take()
            .filter(|reservation| reservation.until > now);
        let Some(reservation) = &self.reservation else {
            return;
        };
        let index =
            candidates.binary_search_by(|candidate| candidate.name.cmp(&reservation.worker));
        if let Ok(index) = index
            && candidates[index].reserved_for.is_none()
        {
            candidates[index].reserved_for = Some(reservation.job.clone());
        }
    }

    /// The worker reserved for `job`; `None` when none is.
    #[must_use]
    pub fn worker_for(&self, job: &JobName) -> Option<&WorkerName> {
        let reservation = self
            .reservation
            .as_ref()
            .filter(|reservation| reservation.job == *job);
        reservation.map(|reservation| &reservation.worker)
    }

    /// Reserves a worker for `job`, or extends the job's reservation. Does nothing while a
    /// worker is reserved for another job.
    pub fn reserve(
        &mut self,
        job: &JobName,
        request: &PlacementRequest<'_>,
        candidates: &mut [CandidateWorker],
        policy: &PlacementPolicy,
        now: MonoTime,
    ) {
        let until = now.plus_millis(RESERVATION_MS);
        match &mut self.reservation {
            Some(reservation) if reservation.job == *job => extend(reservation, candidates, until),
            Some(_) => {}
            None => {
                let large = choose_reserved_worker(candidates, request, policy)
                    .filter(|index| is_large(request, &candidates[*index]));
                if let Some(index) = large {
                    candidates[index].reserved_for = Some(job.clone());
                    self.reservation = Some(LargeReservation {
                        worker: candidates[index].name.clone(),
                        job: job.clone(),
                        until,
                    });
                }
            }
        }
    }

    /// Ends the reservation of a job that was placed.
    pub fn release(&mut self, job: &JobName) {
        self.reservation = self
            .reservation
            .take()
            .filter(|reservation| reservation.job != *job);
    }
}

/// Extends the reservation, except while the worker accepts no work: the worker is released
/// if that persists.
fn extend(reservation: &mut LargeReservation, candidates: &[CandidateWorker], until: MonoTime) {
    let index = candidates.binary_search_by(|candidate| candidate.name.cmp(&reservation.worker));
    if index.is_ok_and(|index| candidates[index].takes_work()) {
        reservation.until = until;
    }
}

const fn is_large(request: &PlacementRequest<'_>, candidate: &CandidateWorker) -> bool {
    let (requested, whole) = (&request.size, &candidate.size);
    requested.accelerators > 0
        || requested.cpu_milli.saturating_mul(LARGE_DIVISOR) >= whole.cpu_milli
        || requested.memory_mb.saturating_mul(LARGE_DIVISOR) >= whole.memory_mb
}
