//! Capacity for tasks that fit nowhere.

use crate::planner::PlanState;
use crate::planner::PlanView;
use crate::planner::StartPlanner;
use crate::planner::start_planner::customer_quota;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RESERVE_AFTER_MS;
use sapphirestile_placement::WaitingJob;

impl StartPlanner {
    /// Plans evictions for an urgent job, or reserves a worker for another.
    pub(super) fn free_capacity(
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
        let customer = customer_quota(job, &plan.customers);
        if waited_ms < RESERVE_AFTER_MS || !size.fits_in(&customer.remaining()) {
            return;
        }
        let nothing = PlacedTasks::default();
        let mut request = PlacementRequest::new(size, customer, &nothing);
        request.job = Some(&job.name);
        request.zones = &job.zones;
        let (candidates, policy) = (&mut plan.candidates, &self.policy);
        self.reserver
            .reserve(&job.name, &request, candidates, policy, view.now);
    }

    /// Sets the reason why a job waits, with the worker that is reserved for it.
    pub(super) fn explain_refusal(&mut self, job: &WaitingJob, reason: &str) {
        let reservation = self.reserver.worker_for(&job.name);
        let reason = match reservation {
            Some(worker) => format!("{reason}; {worker} is reserved for it until it has capacity"),
            None => reason.to_owned(),
        };
        self.reasons.insert(job.name.clone(), reason);
    }
}
