//! Margins of the estimates.

/// Which share of what was seen an estimate covers, and the margin on top.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EstimatePolicy {
    /// The share of processor time reports covered, in thousandths.
    pub cpu_share_permille: u64,
    /// The margin on processor time, in thousandths; 1,000 adds nothing.
    pub cpu_margin_permille: u64,
    /// The margin on the largest memory of the job's own tasks, in thousandths.
    pub job_memory_margin_permille: u64,
    /// The share of the customer's tasks covered while the job is unknown.
    pub customer_memory_share_permille: u64,
    /// The margin on memory while the job is unknown, in thousandths.
    pub customer_memory_margin_permille: u64,
    /// The margin on declared memory while the customer is unknown, in thousandths.
    pub declared_memory_margin_permille: u64,
    /// How many reports of a job make its processor time known.
    pub job_reports_min: u32,
    /// How many reports of a customer make its processor time known.
    pub customer_reports_min: u32,
    /// How many ended tasks of a job make its memory known.
    pub job_ends_min: u32,
    /// How many ended tasks of a customer make its memory known.
    pub customer_ends_min: u32,
}

impl Default for EstimatePolicy {
    fn default() -> Self {
        Self {
            cpu_share_permille: 500,
            cpu_margin_permille: 1_000,
            job_memory_margin_permille: 1_050,
            customer_memory_share_permille: 980,
            customer_memory_margin_permille: 1_000,
            declared_memory_margin_permille: 1_500,
            job_reports_min: 8,
            customer_reports_min: 40,
            job_ends_min: 3,
            customer_ends_min: 20,
        }
    }
}

impl EstimatePolicy {
    /// Takes declared sizes as true, but for sizes that a task has outgrown.
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
            cpu_share_permille: 1_000,
            cpu_margin_permille: 1_000,
            job_memory_margin_permille: 1_000,
            customer_memory_share_permille: 1_000,
            customer_memory_margin_permille: 1_000,
            declared_memory_margin_permille: 1_000,
            job_reports_min: u32::MAX,
            customer_reports_min: u32::MAX,
            job_ends_min: u32::MAX,
            customer_ends_min: u32::MAX,
        }
    }
}
