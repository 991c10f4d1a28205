//! What an owner begins with.

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

const QUOTA_PART: u64 = 2;

/// An empty worker.
pub(super) fn room_of(plan: &DeploymentPlan, worker: usize) -> CandidateWorker {
    let zone = plan.zones[DeploymentPlan::zone_of(worker)];
    let rack = format!("rack-{}", worker / WORKERS_PER_RACK);
    CandidateWorker::new(
        WorkerName::try_from(format!("worker-{worker:02}")).expect("the name is valid"),
        ZoneName::try_from(zone).expect("the name is valid"),
        RackName::try_from(rack).expect("the name is valid"),
        plan.batch_size(),
    )
}

/// The customers, each with half of all workers as its quota.
pub(super) fn customers_of(whole: &ResourceSize) -> Vec<CustomerQuota> {
    let quota = ResourceSize {
        cpu_milli: whole.cpu_milli / QUOTA_PART,
        memory_mb: whole.memory_mb / QUOTA_PART,
        accelerators: 0,
    };
    let room = |(name, priority, _, _): &(&str, u32, f64, f64)| CustomerQuota {
        name: CustomerName::try_from(*name).expect("the name is valid"),
        quota,
        allocated: ResourceSize::default(),
        priority: *priority,
    };
    CUSTOMERS.iter().map(room).collect()
}

/// The room of the customer `name`.
pub(super) fn customer_mut<'c>(
    customers: &'c mut [CustomerQuota],
    name: &CustomerName,
) -> &'c mut CustomerQuota {
    let row = customers.iter_mut().find(|customer| customer.name == *name);
    row.expect("every job has a customer")
}
