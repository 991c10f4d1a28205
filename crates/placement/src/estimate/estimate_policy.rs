//! Percentiles and margins of size estimates.

/// The percentile of observed usage that an estimate covers, the safety margin on
/// top, and the number of observations that it needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EstimatePolicy {
    /// The percentile of reported CPU usage to allocate, in thousandths.
    pub cpu_percentile_permille: u64,
    /// The factor applied to estimated CPU time, in thousandths; 1,000 adds no margin.
    pub cpu_margin_permille: u64,
    /// The factor applied to the maximum memory of the job's tasks, in thousandths.
    pub job_memory_margin_permille: u64,
    /// The percentile of the memory of the customer's tasks to allocate while the
    /// job has too few ended tasks, in thousandths.
    pub customer_memory_percentile_permille: u64,
    /// The factor applied to that percentile, in thousandths.
    pub customer_memory_margin_permille: u64,
    /// The factor applied to declared memory while both job and customer have too
    /// few ended tasks, in thousandths.
    pub declared_memory_margin_permille: u64,
    /// The number of reports from which a job's CPU usage is used.
    pub job_reports_min: u32,
    /// The number of reports from which a customer's CPU usage is used.
    pub customer_reports_min: u32,
    /// The number of ended tasks from which a job's memory usage is used.
    pub job_ended_tasks_min: u32,
    /// The number of ended tasks from which a customer's memory usage is used.
    pub customer_ended_tasks_min: u32,
}

impl Default for EstimatePolicy {
    fn default() -> Self {
        Self {
            cpu_percentile_permille: 500,
            cpu_margin_permille: 1_000,
            job_memory_margin_permille: 1_050,
            customer_memory_percentile_permille: 980,
            customer_memory_margin_permille: 1_000,
            declared_memory_margin_permille: 1_500,
            job_reports_min: 8,
            customer_reports_min: 40,
            job_ended_tasks_min: 3,
            customer_ended_tasks_min: 20,
        }
    }
}

impl EstimatePolicy {
    /// A policy that allocates declared sizes, except for jobs whose tasks used more
    /// memory or ran out of it.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_placement::EstimatePolicy;
    ///
    /// assert_eq!(EstimatePolicy::as_declared().declared_memory_margin_permille, 1_000);
    /// ```
    #[must_use]
    pub const fn as_declared() -> Self {
        Self {
            cpu_percentile_permille: 1_000,
            cpu_margin_permille: 1_000,
            job_memory_margin_permille: 1_000,
            customer_memory_percentile_permille: 1_000,
            customer_memory_margin_permille: 1_000,
            declared_memory_margin_permille: 1_000,
            job_reports_min: u32::MAX,
            customer_reports_min: u32::MAX,
            job_ended_tasks_min: u32::MAX,
            customer_ended_tasks_min: u32::MAX,
        }
    }
}
