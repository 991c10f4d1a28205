//! Shares of quotas that waiting tasks lack.

use crate::planner::PlanState;
use crate::planner::StartPlanner;
use crate::planner::start_planner::customer_quota;
use crate::shares::ShareDemand;
use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;
use sapphirestile_placement::CustomerQuota;
use sapphirestile_placement::PlacedTasks;
use sapphirestile_placement::PlacementRefusal;
use sapphirestile_placement::PlacementRequest;
use sapphirestile_placement::WaitingJob;
use sapphirestile_placement::choose_worker;

const UNLIMITED: ResourceSize = ResourceSize {
    cpu_milli: u64::MAX,
    memory_mb: u64::MAX,
    accelerators: u32::MAX,
};

impl StartPlanner {
    /// Sets the shares of quotas that are in force in this cell.
    pub fn set_shares(&mut self, shares: SortedTable<CustomerName, ResourceSize>) {
        self.shares = shares;
    }

    /// Takes what the tasks lack that the latest plan left waiting for a share.
    pub fn take_demands(&mut self) -> SortedTable<CustomerName, ShareDemand> {
        std::mem::take(&mut self.demands)
    }

    /// Rechecks a refusal for lack of quota against the whole quota, and records what the
    /// job's `left` tasks need beyond the share of this cell.
    pub(super) fn check_quota(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        left: usize,
        refusal: PlacementRefusal,
        plan: &PlanState,
    ) -> PlacementRefusal {
        let PlacementRefusal::QuotaReached {
            customer,
            remaining: share,
            short_of,
            ..
        } = refusal
        else {
            return refusal;
        };
        let entry = self.customers.get(&customer);
        let fits = entry.is_some_and(|entry| size.fits_in(&entry.quota));
        if fits && self.has_capacity(job, size, plan) {
            self.record_demand(job, size, left, plan);
        }
        PlacementRefusal::QuotaReached {
            customer,
            remaining: share,
            short_of,
            larger_than_quota: !fits,
        }
    }

    /// Whether a worker would accept the task if its customer's quota were unlimited.
    fn has_capacity(&self, job: &WaitingJob, size: ResourceSize, plan: &PlanState) -> bool {
        let customer = CustomerQuota {
            quota: UNLIMITED,
            ..customer_quota(job, &plan.customers).clone()
        };
        let nothing = PlacedTasks::default();
        let mut request = PlacementRequest::new(size, &customer, &nothing);
        request.job = Some(&job.name);
        request.urgent = job.urgent;
        request.zones = &job.zones;
        choose_worker(&plan.candidates, &request, &self.policy).is_ok()
    }

    fn record_demand(
        &mut self,
        job: &WaitingJob,
        size: ResourceSize,
        left: usize,
        plan: &PlanState,
    ) {
        let candidates = plan
            .candidates
            .iter()
            .filter(|candidate| candidate.takes_work());
        let free = candidates.fold(ResourceSize::default(), |sum, candidate| {
            sum.plus(&candidate.free(&self.policy))
        });
        let count = u32::try_from(left).unwrap_or(u32::MAX);
        let left = customer_quota(job, &plan.customers).remaining();
        let wanted = size.times(count).at_most(&free).at_least(&size);
        let first = ShareDemand {
            wanted: ResourceSize::default(),
            unit: size.minus(&left),
            size,
        };
        let customer = job.customer.clone();
        let demand = self.demands.get_or_insert_with(customer, || first);
        demand.wanted = demand.wanted.plus(&wanted.minus(&left)).at_most(&free);
        demand.wanted = demand.wanted.at_least(&demand.unit);
    }
}
