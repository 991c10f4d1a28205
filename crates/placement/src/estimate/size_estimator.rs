//! Estimation of task sizes from observed usage.

use crate::EstimateBasis;
use crate::EstimatePolicy;
use crate::RatioHistogram;
use crate::SizeEstimate;
use crate::estimate::usage_history::UsageHistory;
use sapphirestile_core::CustomerName;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::SortedTable;

const WHOLE_PERMILLE: u64 = 1_000;
/// The factor by which memory grows after a task exceeded it, in thousandths.
const MEMORY_GROWTH_PERMILLE: u64 = 1_500;
const CPU_MIN_MILLI: u64 = 50;
const MEMORY_MIN_MB: u64 = 32;

/// Observed usage by job and by customer, from which task sizes are estimated.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::JobName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::EstimateBasis;
/// use sapphirestile_placement::EstimatePolicy;
/// use sapphirestile_placement::SizeEstimator;
///
/// let customer = CustomerName::try_from("tailors").unwrap();
/// let job = JobName::try_from("patterns").unwrap();
/// let declared = ResourceSize { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 1 };
/// let used = ResourceSize { cpu_milli: 1_000, memory_mb: 2_000, accelerators: 1 };
/// let policy = EstimatePolicy::default();
///
/// let mut estimator = SizeEstimator::default();
/// let initial = estimator.estimate(&job, &customer, &declared, &policy);
/// assert_eq!(initial.size.cpu_milli, declared.cpu_milli);
/// for _ in 0..8 {
///     estimator.record_usage(&job, &customer, &used, &declared);
///     estimator.record_peak_memory(&job, &customer, used.memory_mb, &declared);
/// }
/// let learned = estimator.estimate(&job, &customer, &declared, &policy);
/// assert_eq!(learned.cpu_basis, EstimateBasis::Job);
/// assert!(learned.size.cpu_milli < 1_500);
/// assert!(learned.size.memory_mb < 3_000);
/// assert_eq!(learned.size.accelerators, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SizeEstimator {
    jobs: SortedTable<JobName, UsageHistory>,
    customers: SortedTable<CustomerName, UsageHistory>,
}

impl SizeEstimator {
    /// Records a usage report of one running task.
    pub fn record_usage(
        &mut self,
        job: &JobName,
        customer: &CustomerName,
        used: &ResourceSize,
        declared: &ResourceSize,
    ) {
        history(&mut self.jobs, job).add_usage(used, declared);
        history(&mut self.customers, customer).add_usage(used, declared);
    }

    /// Records the peak memory of an ended task, in mebibytes.
    ///
    /// Memory is estimated from ended tasks only, as running ones may still grow.
    pub fn record_peak_memory(
        &mut self,
        job: &JobName,
        customer: &CustomerName,
        peak_mb: u64,
        declared: &ResourceSize,
    ) {
        history(&mut self.jobs, job).add_peak_memory(peak_mb, declared);
        history(&mut self.customers, customer).add_peak_memory(peak_mb, declared);
    }

    /// Records that the worker stopped a task of `job` for exceeding the memory of
    /// `allocated`.
    ///
    /// Further tasks of the job get at least half as much memory again.
    pub fn record_out_of_memory(
        &mut self,
        job: &JobName,
        customer: &CustomerName,
        allocated: &ResourceSize,
        declared: &ResourceSize,
    ) {
        let grown = allocated.memory_mb * MEMORY_GROWTH_PERMILLE / WHOLE_PERMILLE;
        let row = history(&mut self.jobs, job);
        row.required_mb = row.required_mb.max(grown);
        history(&mut self.customers, customer).add_peak_memory(grown, declared);
    }

    /// Raises the memory of further tasks of `job` to at least the declared size.
    ///
    /// Called when a task failed with less memory than it declared, since the
    /// reduced memory may be the cause.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CustomerName;
    /// use sapphirestile_core::JobName;
    /// use sapphirestile_core::ResourceSize;
    /// use sapphirestile_placement::EstimatePolicy;
    /// use sapphirestile_placement::SizeEstimator;
    ///
    /// let customer = CustomerName::try_from("tailors").unwrap();
    /// let job = JobName::try_from("patterns").unwrap();
    /// let declared = ResourceSize { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
    /// let policy = EstimatePolicy::default();
    ///
    /// let mut estimator = SizeEstimator::default();
    /// for _ in 0..8 {
    ///     estimator.record_peak_memory(&job, &customer, 2_000, &declared);
    /// }
    /// assert!(estimator.estimate(&job, &customer, &declared, &policy).size.memory_mb < 3_000);
    /// estimator.restore_declared_memory(&job, &declared);
    /// let restored = estimator.estimate(&job, &customer, &declared, &policy);
    /// assert_eq!(restored.size.memory_mb, 8_000);
    /// ```
    pub fn restore_declared_memory(&mut self, job: &JobName, declared: &ResourceSize) {
        let row = history(&mut self.jobs, job);
        row.required_mb = row.required_mb.max(declared.memory_mb);
    }

    /// Removes the observations of an ended job. Those of its customer stay.
    pub fn forget_job(&mut self, job: &JobName) {
        self.jobs.remove(job);
    }

    /// Estimates the resources to allocate to a task of `job`.
    ///
    /// Accelerators are allocated as declared.
    #[must_use]
    pub fn estimate(
        &self,
        job: &JobName,
        customer: &CustomerName,
        declared: &ResourceSize,
        policy: &EstimatePolicy,
    ) -> SizeEstimate {
        let of_job = self.jobs.get(job);
        let of_customer = self.customers.get(customer);
        let (cpu_milli, cpu_basis) = cpu_of(of_job, of_customer, declared, policy);
        let (memory_mb, memory_basis) = memory_of(of_job, of_customer, declared, policy);
        SizeEstimate {
            size: ResourceSize {
                cpu_milli,
                memory_mb,
                accelerators: declared.accelerators,
            },
            cpu_basis,
            memory_basis,
        }
    }
}

fn history<'a, K: Ord + Clone>(
    table: &'a mut SortedTable<K, UsageHistory>,
    key: &K,
) -> &'a mut UsageHistory {
    table.get_or_insert_with(key.clone(), UsageHistory::default)
}

fn cpu_of(
    of_job: Option<&UsageHistory>,
    of_customer: Option<&UsageHistory>,
    declared: &ResourceSize,
    policy: &EstimatePolicy,
) -> (u64, EstimateBasis) {
    let is_known = |row: &&UsageHistory, least| row.cpu.total() >= least;
    let job = of_job.filter(|row| is_known(row, policy.job_reports_min));
    let customer = of_customer.filter(|row| is_known(row, policy.customer_reports_min));
    let (row, basis) = match (job, customer) {
        (Some(row), _) => (row, EstimateBasis::Job),
        (None, Some(row)) => (row, EstimateBasis::Customer),
        (None, None) => return (declared.cpu_milli, EstimateBasis::Declared),
    };
    let share = policy.cpu_percentile_permille;
    let margin = policy.cpu_margin_permille;
    let cpu_milli = scaled(declared.cpu_milli, &row.cpu, share, margin);
    (cpu_milli.max(CPU_MIN_MILLI), basis)
}

fn memory_of(
    of_job: Option<&UsageHistory>,
    of_customer: Option<&UsageHistory>,
    declared: &ResourceSize,
    policy: &EstimatePolicy,
) -> (u64, EstimateBasis) {
    let is_known = |row: &&UsageHistory, least| row.memory.total() >= least;
    let job = of_job.filter(|row| is_known(row, policy.job_ended_tasks_min));
    let customer = of_customer.filter(|row| is_known(row, policy.customer_ended_tasks_min));
    let margin = policy.job_memory_margin_permille;
    let (memory_mb, basis) = if let Some(row) = job {
        let estimated_mb = scaled(declared.memory_mb, &row.memory, WHOLE_PERMILLE, margin);
        (estimated_mb, EstimateBasis::Job)
    } else if let Some(row) = customer {
        let share = policy.customer_memory_percentile_permille;
        let margin = policy.customer_memory_margin_permille;
        let estimated_mb = scaled(declared.memory_mb, &row.memory, share, margin);
        (estimated_mb, EstimateBasis::Customer)
    } else {
        let margin = policy.declared_memory_margin_permille;
        let estimated_mb = declared.memory_mb.saturating_mul(margin) / WHOLE_PERMILLE;
        (estimated_mb, EstimateBasis::Declared)
    };
    let peak_mb = of_job.map_or(0, |row| row.peak_mb) * margin / WHOLE_PERMILLE;
    let required_mb = of_job.map_or(0, |row| row.required_mb);
    if required_mb > memory_mb.max(peak_mb) {
        return (required_mb, EstimateBasis::OutOfMemory);
    }
    (memory_mb.max(peak_mb).max(MEMORY_MIN_MB), basis)
}

/// `declared` times the percentile `share` of the observed ratios, times `margin`; the last
/// two are in thousandths.
fn scaled(declared: u64, histogram: &RatioHistogram, share: u64, margin: u64) -> u64 {
    let Some(ratio) = histogram.percentile(share) else {
        return declared;
    };
    declared.saturating_mul(ratio) / WHOLE_PERMILLE * margin / WHOLE_PERMILLE
}
