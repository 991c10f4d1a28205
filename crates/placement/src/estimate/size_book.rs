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
/// let unknown = book.estimate(&job, &customer, &declared, &policy);
/// assert_eq!(unknown.size.cpu_milli, declared.cpu_milli);
/// for _ in 0..8 {
///     book.note_usage(&job, &customer, &used, &declared);
///     book.note_end(&job, &customer, used.memory_mb, &declared);
/// }
/// let known = book.estimate(&job, &customer, &declared, &policy);
/// assert_eq!(known.cpu_basis, SizeBasis::Job);
/// assert!(known.size.cpu_milli < 1_500);
/// assert!(known.size.memory_mb < 3_000);
/// assert_eq!(known.size.accelerators, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SizeBook {
    jobs: SortedTable<JobName, UsageHistory>,
    customers: SortedTable<CustomerName, UsageHistory>,
}

impl SizeBook {
    /// Counts the usage of one running task that declared `declared`.
    pub fn note_usage(
        &mut self,
        job: &JobName,
        customer: &CustomerName,
        used: &ResourceSize,
        declared: &ResourceSize,
    ) {
        history(&mut self.jobs, job).add_usage(used, declared);
        history(&mut self.customers, customer).add_usage(used, declared);
    }

    /// Counts the most memory that a task used until it ended, in mebibytes.
    ///
    /// Running tasks may still grow, so only ended ones make memory known.
    pub fn note_end(
        &mut self,
        job: &JobName,
        customer: &CustomerName,
        most_mb: u64,
        declared: &ResourceSize,
    ) {
        history(&mut self.jobs, job).add_end(most_mb, declared);
        history(&mut self.customers, customer).add_end(most_mb, declared);
    }

    /// A task of `job` was stopped by the worker's guard since it outgrew `given`.
    pub fn note_outgrown(
        &mut self,
        job: &JobName,
        customer: &CustomerName,
        given: &ResourceSize,
        declared: &ResourceSize,
    ) {
        let grown = given.memory_mb * OUTGROWN_GROWTH_PERMILLE / WHOLE_PERMILLE;
        let row = history(&mut self.jobs, job);
        row.outgrown_mb = row.outgrown_mb.max(grown);
        history(&mut self.customers, customer).add_end(grown, declared);
    }

    /// A task of `job` failed with less memory than it declared, which may be why.
    /// The job's tasks are given what they declared from now on.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_core::CustomerName;
    /// use sapphirestile_core::JobName;
    /// use sapphirestile_core::ResourceSize;
    /// use sapphirestile_placement::EstimatePolicy;
    /// use sapphirestile_placement::SizeBook;
    ///
    /// let customer = CustomerName::try_from("tailors").unwrap();
    /// let job = JobName::try_from("patterns").unwrap();
    /// let declared = ResourceSize { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
    /// let policy = EstimatePolicy::default();
    ///
    /// let mut book = SizeBook::default();
    /// for _ in 0..8 {
    ///     book.note_end(&job, &customer, 2_000, &declared);
    /// }
    /// assert!(book.estimate(&job, &customer, &declared, &policy).size.memory_mb < 3_000);
    /// book.note_short(&job, &declared);
    /// let given = book.estimate(&job, &customer, &declared, &policy);
    /// assert_eq!(given.size.memory_mb, 8_000);
    /// ```
    pub fn note_short(&mut self, job: &JobName, declared: &ResourceSize) {
        let row = history(&mut self.jobs, job);
        row.outgrown_mb = row.outgrown_mb.max(declared.memory_mb);
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
) -> (u64, SizeBasis) {
    let known = |row: &&UsageHistory, least| row.cpu.total() >= least;
    let job = of_job.filter(|row| known(row, policy.job_reports_min));
    let customer = of_customer.filter(|row| known(row, policy.customer_reports_min));
    let (row, basis) = match (job, customer) {
        (Some(row), _) => (row, SizeBasis::Job),
        (None, Some(row)) => (row, SizeBasis::Customer),
        (None, None) => return (declared.cpu_milli, SizeBasis::Declared),
    };
    let share = policy.cpu_share_permille;
    let margin = policy.cpu_margin_permille;
    let cpu_milli = scaled(declared.cpu_milli, &row.cpu, share, margin);
    (cpu_milli.max(CPU_MIN_MILLI), basis)
}

fn memory_of(
    of_job: Option<&UsageHistory>,
    of_customer: Option<&UsageHistory>,
    declared: &ResourceSize,
    policy: &EstimatePolicy,
) -> (u64, SizeBasis) {
    let known = |row: &&UsageHistory, least| row.memory.total() >= least;
    let job = of_job.filter(|row| known(row, policy.job_ends_min));
    let customer = of_customer.filter(|row| known(row, policy.customer_ends_min));
    let margin = policy.job_memory_margin_permille;
    let (memory_mb, basis) = if let Some(row) = job {
        let most = scaled(declared.memory_mb, &row.memory, WHOLE_PERMILLE, margin);
        (most, SizeBasis::Job)
    } else if let Some(row) = customer {
        let share = policy.customer_memory_share_permille;
        let margin = policy.customer_memory_margin_permille;
        let most = scaled(declared.memory_mb, &row.memory, share, margin);
        (most, SizeBasis::Customer)
    } else {
        let margin = policy.declared_memory_margin_permille;
        let most = declared.memory_mb.saturating_mul(margin) / WHOLE_PERMILLE;
        (most, SizeBasis::Declared)
    };
    let seen_mb = of_job.map_or(0, |row| row.seen_mb) * margin / WHOLE_PERMILLE;
    let outgrown_mb = of_job.map_or(0, |row| row.outgrown_mb);
    if outgrown_mb > memory_mb.max(seen_mb) {
        return (outgrown_mb, SizeBasis::Outgrown);
    }
    (memory_mb.max(seen_mb).max(MEMORY_MIN_MB), basis)
}

fn scaled(declared: u64, seen: &RatioHistogram, share: u64, margin: u64) -> u64 {
    let Some(ratio) = seen.percentile(share) else {
        return declared;
    };
    declared.saturating_mul(ratio) / WHOLE_PERMILLE * margin / WHOLE_PERMILLE
}
