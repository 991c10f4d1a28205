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
    /// How many reports of a job make it known.
    pub job_reports_min: u32,
    /// How many reports of a customer make it known.
    pub customer_reports_min: u32,
}

impl Default for EstimatePolicy {
    fn default() -> Self {
        Self {
            cpu_share_permille: 900,
            cpu_margin_permille: 1_100,
            job_memory_margin_permille: 1_150,
            customer_memory_share_permille: 980,
            customer_memory_margin_permille: 1_100,
            job_reports_min: 8,
            customer_reports_min: 40,
        }
    }
}
