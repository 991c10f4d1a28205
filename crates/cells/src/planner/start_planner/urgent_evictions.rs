//! Evictions for urgent tasks.

use crate::planner::EvictionRequest;
use crate::planner::PlanState;
use crate::planner::PlanView;
use crate::planner::StartPlanner;
use crate::planner::start_planner::customer_quota;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::WaitingJob;

impl StartPlanner {
    /// Takes the evictions that the latest plans decided.
    pub fn take_evictions(&mut self) -> Vec<EvictionRequest> {
        std::mem::take(&mut self.evictions)
    }

    pub(super) fn plan_evictions(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        view: &PlanView<'_>,
        plan: &PlanState,
    ) {
        let nothing = PlacedTasks::default();
        let customer = customer_quota(job, &plan.customers);
        let mut request = PlacementRequest::new(size, customer, &nothing);
        request.job = Some(&job.name);
        request.zones = &job.zones;
        let (candidates, policy) = (&plan.candidates, &self.policy);
        let requests = self
            .evictor
            .plan_evictions(&job.name, &request, view, candidates, policy);
        self.evictions.extend(requests);
    }
}
