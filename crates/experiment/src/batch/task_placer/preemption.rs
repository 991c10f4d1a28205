//! Reservation of workers for jobs that wait, and preemption.

use sapphirestile_core::MonoTime;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::RunningTask;
use sapphirestile_placement::WaitingJob;

use crate::batch::SimulatedCluster;
use crate::batch::reservation_policy::ReservationPolicy;
use crate::batch::scheduler_setup::customer_quota_mut;
use crate::batch::task_placer::TaskPlacer;

impl TaskPlacer<'_> {
    pub(super) fn reserve(
        &mut self,
        job: &WaitingJob,
        number: usize,
        size: ResourceSize,
        now: MonoTime,
    ) {
        let waited = now.millis_since(job.submitted.max(job.not_before));
        let customer = customer_quota_mut(&mut self.customers, &job.customer);
        let request = PlacementRequest::new(size, customer, &self.placed[number]);
        let (candidates, policy) = (&mut self.candidates, &self.placement_policy);
        self.reservations
            .reserve(candidates, &request, &job.name, waited, policy);
    }

    /// Chooses tasks to stop for an urgent task and reserves their worker for it.
    ///
    /// If the customer's quota is used up, only its own tasks are considered.
    pub(super) fn preempt(
        &mut self,
        job: &WaitingJob,
        number: usize,
        size: ResourceSize,
        cluster: &SimulatedCluster<'_>,
    ) -> Vec<usize> {
        if !self.reservations.may_preempt(&self.candidates, &job.name) {
            return Vec::new();
        }
        let customer = customer_quota_mut(&mut self.customers, &job.customer);
        let own_tasks_only = !size.fits_in(&customer.remaining());
        let mut task_numbers = Vec::new();
        let mut running = Vec::new();
        for (task, assignment) in self.assignments.iter().enumerate() {
            let profile = &self.jobs[cluster.tasks[task].job];
            if let Some(assignment) = assignment
                && (!own_tasks_only || profile.customer == job.customer)
            {
                task_numbers.push(task);
                running.push(RunningTask {
                    worker_index: assignment.worker,
                    allocated: assignment.allocated,
                    urgent: profile.urgent,
                });
            }
        }
        let request = PlacementRequest::new(size, customer, &self.placed[number]);
        let (candidates, policy) = (&mut self.candidates, &self.placement_policy);
        let victims = ReservationPolicy::preempt(candidates, &running, &request, &job.name, policy);
        victims
            .into_iter()
            .map(|position| task_numbers[position])
            .collect()
    }
}
