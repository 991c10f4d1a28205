//! Reservation of a worker for large tasks.

use crate::planner::LargeReservation;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RoomPolicy;
use sapphirestile_placement::WorkerRoom;
use sapphirestile_placement::choose_held_worker;

/// A reservation ends this long after the last plan in which its job did not fit.
const RESERVATION_MS: u64 = 10_000;
/// A task is large when it needs at least this fraction of a worker, as a divisor;
/// smaller ones soon find capacity.
const LARGE_DIVISOR: u64 = 4;

/// Reserves one worker at a time for a large task of the backlog that has waited long.
/// Otherwise small tasks would always take the capacity that becomes free.
#[derive(Clone, Debug, Default)]
pub struct WorkerReserver {
    held: Option<LargeReservation>,
}

impl WorkerReserver {
    /// Marks the reserved worker.
    pub fn mark(&mut self, rooms: &mut [WorkerRoom], now: MonoTime) {
        self.held = self.held.take().filter(|held| held.until > now);
        let Some(held) = &self.held else {
            return;
        };
        let index = rooms.binary_search_by(|room| room.name.cmp(&held.worker));
        if let Ok(index) = index
            && rooms[index].held_for.is_none()
        {
            rooms[index].held_for = Some(held.job.clone());
        }
    }

    /// The worker reserved for `job`.
    #[must_use]
    pub fn held_for(&self, job: &JobName) -> Option<&WorkerName> {
        let held = self.held.as_ref().filter(|held| held.job == *job);
        held.map(|held| &held.worker)
    }

    /// Reserves a worker for `job`, or extends the job's reservation. Does nothing while a
    /// worker is reserved for another job.
    pub fn hold(
        &mut self,
        job: &JobName,
        request: &PlacementRequest<'_>,
        rooms: &mut [WorkerRoom],
        policy: &RoomPolicy,
        now: MonoTime,
    ) {
        let until = now.plus_millis(RESERVATION_MS);
        match &mut self.held {
            Some(held) if held.job == *job => extend(held, rooms, until),
            Some(_) => {}
            None => {
                let large = choose_held_worker(rooms, request, policy)
                    .filter(|index| is_large(request, &rooms[*index]));
                if let Some(index) = large {
                    rooms[index].held_for = Some(job.clone());
                    self.held = Some(LargeReservation {
                        worker: rooms[index].name.clone(),
                        job: job.clone(),
                        until,
                    });
                }
            }
        }
    }

    /// Ends the reservation of a job that was placed.
    pub fn release(&mut self, job: &JobName) {
        self.held = self.held.take().filter(|held| held.job != *job);
    }
}

/// A worker that accepts no work is not extended, so it is released if that persists.
fn extend(held: &mut LargeReservation, rooms: &[WorkerRoom], until: MonoTime) {
    let index = rooms.binary_search_by(|room| room.name.cmp(&held.worker));
    if index.is_ok_and(|index| rooms[index].takes_work()) {
        held.until = until;
    }
}

const fn is_large(request: &PlacementRequest<'_>, room: &WorkerRoom) -> bool {
    let (asked, whole) = (&request.size, &room.size);
    asked.accelerators > 0
        || asked.cpu_milli.saturating_mul(LARGE_DIVISOR) >= whole.cpu_milli
        || asked.memory_mb.saturating_mul(LARGE_DIVISOR) >= whole.memory_mb
}
