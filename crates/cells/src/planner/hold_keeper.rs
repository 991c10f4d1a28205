//! A worker held for a large task.

use crate::planner::HeldWorker;
use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;
use sapphirestile_core::WorkerName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::PlacementPolicy;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::choose_reserved_worker;

/// How long a hold outlasts the last plan in which its job found no room.
const HOLD_MS: u64 = 10_000;
/// A task of less than this part of a worker soon finds room, as a divisor.
const LARGE_DIVISOR: u64 = 4;

/// Holds one worker at a time for a large task of the backlog that has waited
/// long: small tasks would take what comes free there for ever.
#[derive(Clone, Debug, Default)]
pub struct HoldKeeper {
    held: Option<HeldWorker>,
}

impl HoldKeeper {
    /// Marks the worker that is held.
    pub fn mark(&mut self, rooms: &mut [CandidateWorker], now: MonoTime) {
        self.held = self.held.take().filter(|held| held.until > now);
        let Some(held) = &self.held else {
            return;
        };
        let place = rooms.binary_search_by(|room| room.name.cmp(&held.worker));
        if let Ok(place) = place
            && rooms[place].reserved_for.is_none()
        {
            rooms[place].reserved_for = Some(held.job.clone());
        }
    }

    /// The worker held for `job`.
    #[must_use]
    pub fn held_for(&self, job: &JobName) -> Option<&WorkerName> {
        let held = self.held.as_ref().filter(|held| held.job == *job);
        held.map(|held| &held.worker)
    }

    /// Holds a worker for `job`, or goes on holding the one that it has.
    pub fn hold(
        &mut self,
        job: &JobName,
        request: &PlacementRequest<'_>,
        rooms: &mut [CandidateWorker],
        policy: &PlacementPolicy,
        now: MonoTime,
    ) {
        let until = now.plus_millis(HOLD_MS);
        match &mut self.held {
            Some(held) if held.job == *job => extend(held, rooms, until),
            Some(_) => {}
            None => {
                let large = choose_reserved_worker(rooms, request, policy)
                    .filter(|place| is_large(request, &rooms[*place]));
                if let Some(place) = large {
                    rooms[place].reserved_for = Some(job.clone());
                    self.held = Some(HeldWorker {
                        worker: rooms[place].name.clone(),
                        job: job.clone(),
                        until,
                    });
                }
            }
        }
    }

    /// Ends the hold for a job that was placed.
    pub fn release(&mut self, job: &JobName) {
        self.held = self.held.take().filter(|held| held.job != *job);
    }
}

/// A worker that takes no work now is let go when it stays so.
fn extend(held: &mut HeldWorker, rooms: &[CandidateWorker], until: MonoTime) {
    let place = rooms.binary_search_by(|room| room.name.cmp(&held.worker));
    if place.is_ok_and(|place| rooms[place].takes_work()) {
        held.until = until;
    }
}

const fn is_large(request: &PlacementRequest<'_>, room: &CandidateWorker) -> bool {
    let (asked, whole) = (&request.size, &room.size);
    asked.accelerators > 0
        || asked.cpu_milli.saturating_mul(LARGE_DIVISOR) >= whole.cpu_milli
        || asked.memory_mb.saturating_mul(LARGE_DIVISOR) >= whole.memory_mb
}
