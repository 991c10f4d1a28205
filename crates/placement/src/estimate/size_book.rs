//! What tasks really use, by job and customer.

use crate::EstimatePolicy;
use crate::RatioHistogram;
use crate::SizeBasis;
use crate::SizeEstimate;
use crate::estimate::usage_history::UsageHistory;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

const WHOLE_PERMILLE: u64 = 1_000;
const OUTGROWN_GROWTH_PERMILLE: u64 = 1_500;
const CPU_MIN_MILLI: u64 = 50;
const MEMORY_MIN_MB: u64 = 32;

/// Usage seen, by job and by customer.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::EstimatePolicy;
/// use sapphirestile_placement::SizeBasis;
/// use sapphirestile_placement::SizeBook;
///
/// let customer = CustomerName::try_from("tailors").unwrap();
/// let job = JobName::try_from("patterns").unwrap();
/// let declared = ResourceSize { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 1 };
/// let used = ResourceSize { cpu_milli: 1_000, memory_mb: 2_000, accelerators: 1 };
/// let policy = EstimatePolicy::default();
///
/// let mut book = SizeBook::default();
/// assert_eq!(book.estimate(&job, &customer, &declared, &policy).size, declared);
/// for _ in 0..8 {
///     book.note_usage(&job, &customer, &used, &declared);
/// }
/// let estimate = book.estimate(&job, &customer, &declared, &policy);
/// assert_eq!(estimate.basis, SizeBasis::Job);
/// assert!(estimate.size.cpu_milli < 1_500);
/// assert_eq!(estimate.size.accelerators, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SizeBook {
    jobs: SortedTable<JobName, UsageHistory>,
    customers: SortedTable<CustomerName, UsageHistory>,
}

impl SizeBook {
    /// Counts the usage of one task that declared `declared`.
    pub fn note_usage(
        &mut self,
        job: &JobName,
        customer: &CustomerName,
        used: &ResourceSize,
        declared: &ResourceSize,
    ) {
        history(&mut self.jobs, job).add(used, declared);
        history(&mut self.customers, customer).add(used, declared);
    }

    /// A task of `job` was stopped by the worker's guard since it outgrew `given`.
    pub fn note_outgrown(&mut self, job: &JobName, given: &ResourceSize) {
        let row = history(&mut self.jobs, job);
        let grown = given.memory_mb * OUTGROWN_GROWTH_PERMILLE / WHOLE_PERMILLE;
        row.outgrown_mb = row.outgrown_mb.max(grown);
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: &JobName) {
        self.jobs.remove(job);
    }

    /// The size to give a task of `job`.
    ///
    /// Accelerators are given as declared.
    #[must_use]
    pub fn estimate(
        &self,
        job: &JobName,
        customer: &CustomerName,
        declared: &ResourceSize,
        policy: &EstimatePolicy,
    ) -> SizeEstimate {
        let of_job = self.jobs.get(job);
        let (mut size, mut basis) = match of_job {
            Some(row) if row.cpu.total() >= policy.job_reports_min => {
                (size_from_job(row, declared, policy), SizeBasis::Job)
            }
            _ => match self.customers.get(customer) {
                Some(row) if row.cpu.total() >= policy.customer_reports_min => (
                    size_from_customer(row, declared, policy),
                    SizeBasis::Customer,
                ),
                _ => (*declared, SizeBasis::Declared),
            },
        };
        let outgrown_mb = of_job.map_or(0, |row| row.outgrown_mb);
        if outgrown_mb > size.memory_mb {
            size.memory_mb = outgrown_mb;
            basis = SizeBasis::Outgrown;
        }
        SizeEstimate { size, basis }
    }
}

fn history<'a, K: Ord + Clone>(
    table: &'a mut SortedTable<K, UsageHistory>,
    key: &K,
) -> &'a mut UsageHistory {
    table.get_or_insert_with(key.clone(), UsageHistory::default)
}

fn size_from_job(
    row: &UsageHistory,
    declared: &ResourceSize,
    policy: &EstimatePolicy,
) -> ResourceSize {
    ResourceSize {
        cpu_milli: cpu_from(&row.cpu, declared, policy),
        memory_mb: memory_from(
            &row.memory,
            declared,
            WHOLE_PERMILLE,
            policy.job_memory_margin_permille,
        ),
        accelerators: declared.accelerators,
    }
}

fn size_from_customer(
    row: &UsageHistory,
    declared: &ResourceSize,
    policy: &EstimatePolicy,
) -> ResourceSize {
    ResourceSize {
        cpu_milli: cpu_from(&row.cpu, declared, policy),
        memory_mb: memory_from(
            &row.memory,
            declared,
            policy.customer_memory_share_permille,
            policy.customer_memory_margin_permille,
        ),
        accelerators: declared.accelerators,
    }
}

fn cpu_from(seen: &RatioHistogram, declared: &ResourceSize, policy: &EstimatePolicy) -> u64 {
    let share = policy.cpu_share_permille;
    let margin = policy.cpu_margin_permille;
    scaled(declared.cpu_milli, seen.percentile(share), margin).max(CPU_MIN_MILLI)
}

fn memory_from(seen: &RatioHistogram, declared: &ResourceSize, share: u64, margin: u64) -> u64 {
    scaled(declared.memory_mb, seen.percentile(share), margin).max(MEMORY_MIN_MB)
}

fn scaled(declared: u64, ratio_permille: Option<u64>, margin_permille: u64) -> u64 {
    let Some(ratio) = ratio_permille else {
        return declared;
    };
    declared.saturating_mul(ratio) / WHOLE_PERMILLE * margin_permille / WHOLE_PERMILLE
}
