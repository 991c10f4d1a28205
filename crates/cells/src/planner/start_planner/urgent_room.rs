//! Room for urgent tasks.

use crate::planner::EvictionOrder;
use crate::planner::PlanView;
use crate::planner::RoomBook;
use crate::planner::StartPlanner;
use crate::planner::start_planner::customer_of;
use sapphirestile_core::ResourceSize;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::WaitingJob;

impl StartPlanner {
    /// The tasks that the latest plans want stopped.
    pub fn take_evictions(&mut self) -> Vec<EvictionOrder> {
        std::mem::take(&mut self.evictions)
    }

    pub(super) fn make_room(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        view: &PlanView<'_>,
        book: &RoomBook,
    ) {
        let nothing = PlacedTasks::default();
        let customer = customer_of(job, &book.customers);
        let mut request = PlacementRequest::new(size, customer, &nothing);
        request.job = Some(&job.name);
        request.zones = &job.zones;
        let (rooms, policy) = (&book.rooms, &self.policy);
        let orders = self
            .maker
            .make_room(&job.name, &request, view, rooms, policy);
        self.evictions.extend(orders);
    }
}
