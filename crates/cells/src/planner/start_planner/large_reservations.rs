//! Capacity for tasks that fit nowhere.

use crate::planner::PlanState;
use crate::planner::PlanView;
use crate::planner::StartPlanner;
use crate::planner::start_planner::customer_room;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::HOLD_AFTER_MS;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::WaitingJob;

impl StartPlanner {
    /// Plans evictions for an urgent job, or reserves a worker for another.
    pub(super) fn make_room(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        view: &PlanView<'_>,
        plan: &mut PlanState,
    ) {
        if job.urgent {
            self.plan_evictions(job, size, view, plan);
        } else {
            self.reserve_worker(job, size, view, plan);
        }
    }

    /// Reserves a worker for a job that has fitted nowhere for long.
    pub(super) fn reserve_worker(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        view: &PlanView<'_>,
        plan: &mut PlanState,
    ) {
        let waited_ms = view.now.millis_since(job.submitted.max(job.not_before));
        let customer = customer_room(job, &plan.customers);
        if waited_ms < HOLD_AFTER_MS || !size.fits_in(&customer.left()) {
            return;
        }
        let nothing = PlacedTasks::default();
        let mut request = PlacementRequest::new(size, customer, &nothing);
        request.job = Some(&job.name);
        request.zones = &job.zones;
        let (rooms, policy) = (&mut plan.rooms, &self.policy);
        self.reserver
            .hold(&job.name, &request, rooms, policy, view.now);
    }

    /// Sets the reason why a job waits, with the worker that is reserved for it.
    pub(super) fn explain_refusal(&mut self, job: &WaitingJob, reason: &str) {
        let held = self.reserver.held_for(&job.name);
        let reason = match held {
            Some(worker) => format!("{reason}; {worker} is reserved for it until it has room"),
            None => reason.to_owned(),
        };
        self.reasons.insert(job.name.clone(), reason);
    }
}
