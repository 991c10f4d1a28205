//! The keys of rows.

use sapphirestile_jobs::JobIdentity;

const HEAD: &str = "sapphirestile/head";
const COUNTS: &str = "sapphirestile/counts";
const LEARNT: &str = "sapphirestile/learnt";
const INTAKE: &str = "sapphirestile/intake/";
const RECORDS: &str = "sapphirestile/jobs/";
const CANCELLED: &str = "/cancelled";

/// Names the rows of the store.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::RowKeys;
/// use sapphirestile_jobs::JobIdentity;
///
/// let identity = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
/// assert_eq!(RowKeys::record(&identity), "sapphirestile/jobs/5c0e7a21d94b36f8");
/// assert_eq!(RowKeys::identity_of(&RowKeys::record(&identity)), Some(identity));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RowKeys;

impl RowKeys {
    /// The row that names the owner.
    #[must_use]
    pub const fn head() -> &'static str {
        HEAD
    }

    /// The row that counts waiting jobs.
    #[must_use]
    pub const fn counts() -> &'static str {
        COUNTS
    }

    /// The row of what owners have learnt.
    #[must_use]
    pub const fn learnt() -> &'static str {
        LEARNT
    }

    /// What the keys of orders and cancellations begin with.
    #[must_use]
    pub const fn intake() -> &'static str {
        INTAKE
    }

    /// What the keys of records begin with.
    #[must_use]
    pub const fn records() -> &'static str {
        RECORDS
    }

    /// The order of a job.
    #[must_use]
    pub fn order(identity: &JobIdentity) -> String {
        format!("{INTAKE}{identity}")
    }

    /// The cancellation of a job.
    #[must_use]
    pub fn cancellation(identity: &JobIdentity) -> String {
        format!("{INTAKE}{identity}{CANCELLED}")
    }

    /// The record of a job.
    #[must_use]
    pub fn record(identity: &JobIdentity) -> String {
        format!("{RECORDS}{identity}")
    }

    /// The job that the key of an order or a record names.
    #[must_use]
    pub fn identity_of(key: &str) -> Option<JobIdentity> {
        let name = key.strip_prefix(INTAKE).or(key.strip_prefix(RECORDS))?;
        JobIdentity::try_from(name).ok()
    }

    /// The job that the key of a cancellation names.
    #[must_use]
    pub fn cancelled_identity_of(key: &str) -> Option<JobIdentity> {
        let name = key.strip_prefix(INTAKE)?.strip_suffix(CANCELLED)?;
        JobIdentity::try_from(name).ok()
    }
}
