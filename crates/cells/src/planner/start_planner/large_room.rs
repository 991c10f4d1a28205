//! Room for large tasks of the backlog.

use crate::planner::PlanView;
use crate::planner::RoomBook;
use crate::planner::StartPlanner;
use crate::planner::start_planner::customer_of;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RESERVE_AFTER_MS;
use sapphirestile_placement::WaitingJob;

impl StartPlanner {
    /// Lets the backlog make room for urgent work, or holds a worker for large.
    pub(super) fn find_room(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        view: &PlanView<'_>,
        book: &mut RoomBook,
    ) {
        if job.urgent {
            self.make_room(job, size, view, book);
        } else {
            self.hold_worker(job, size, view, book);
        }
    }

    /// Holds a worker for a job that has found no room for long.
    pub(super) fn hold_worker(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        view: &PlanView<'_>,
        book: &mut RoomBook,
    ) {
        let waited_ms = view.now.millis_since(job.submitted.max(job.not_before));
        let customer = customer_of(job, &book.customers);
        if waited_ms < RESERVE_AFTER_MS || !size.fits_in(&customer.remaining()) {
            return;
        }
        let nothing = PlacedTasks::default();
        let mut request = PlacementRequest::new(size, customer, &nothing);
        request.job = Some(&job.name);
        request.zones = &job.zones;
        let (rooms, policy) = (&mut book.rooms, &self.policy);
        self.keeper
            .hold(&job.name, &request, rooms, policy, view.now);
    }

    /// Why a job found no room, with the worker that is held for it.
    pub(super) fn explain_no_room(&mut self, job: &WaitingJob, reason: &str) {
        let held = self.keeper.held_for(&job.name);
        let reason = match held {
            Some(worker) => format!("{reason}; {worker} is held for it until it has room"),
            None => reason.to_owned(),
        };
        self.reasons.insert(job.name.clone(), reason);
    }
}
