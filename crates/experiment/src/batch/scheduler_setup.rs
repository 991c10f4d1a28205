//! Initial workers and customers of a scheduler.

use crate::DeploymentPlan;
use crate::plan::CUSTOMERS;
use crate::plan::WORKERS_PER_RACK;
use sapphirestile_core::CustomerName;
use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;
use sapphirestile_placement::CandidateWorker;
use sapphirestile_placement::CustomerQuota;

/// Each quota is the size of all workers divided by this.
const QUOTA_DIVISOR: u64 = 2;

/// The worker with index `worker`, with nothing allocated on it.
pub(super) fn empty_candidate(plan: &DeploymentPlan, worker: usize) -> CandidateWorker {
    let zone = plan.zones[DeploymentPlan::zone_of(worker)];
    let rack = format!("rack-{}", worker / WORKERS_PER_RACK);
    CandidateWorker::new(
        WorkerName::try_from(format!("worker-{worker:02}")).expect("the name is valid"),
        ZoneName::try_from(zone).expect("the name is valid"),
        RackName::try_from(rack).expect("the name is valid"),
        plan.batch_capacity(),
    )
}

/// The customers, each with half of `total`, the size of all workers, as its quota.
pub(super) fn customer_quotas(total: &ResourceSize) -> Vec<CustomerQuota> {
    let quota = ResourceSize {
        cpu_milli: total.cpu_milli / QUOTA_DIVISOR,
        memory_mb: total.memory_mb / QUOTA_DIVISOR,
        accelerators: 0,
    };
    let quota_of = |(name, priority, _, _): &(&str, u32, f64, f64)| CustomerQuota {
        name: CustomerName::try_from(*name).expect("the name is valid"),
        quota,
        allocated: ResourceSize::default(),
        priority: *priority,
    };
    CUSTOMERS.iter().map(quota_of).collect()
}

/// The quota and allocation of the customer `name`.
pub(super) fn customer_quota_mut<'c>(
    customers: &'c mut [CustomerQuota],
    name: &CustomerName,
) -> &'c mut CustomerQuota {
    let row = customers.iter_mut().find(|customer| customer.name == *name);
    row.expect("the customer of every job is in the list")
}
