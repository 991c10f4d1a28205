//! Keys of the rows in the store.

use sapphirestile_jobs::JobIdentity;

const OWNERSHIP: &str = "sapphirestile/head";
const COUNTS: &str = "sapphirestile/counts";
const LEARNT: &str = "sapphirestile/learnt";
const INTAKE: &str = "sapphirestile/intake/";
const RECORDS: &str = "sapphirestile/jobs/";
const CANCELLED: &str = "/cancelled";

/// Builds and parses the keys of rows.
///
/// # Examples
///
/// ```
/// use sapphirestile_entry::RowKeys;
/// use sapphirestile_jobs::JobIdentity;
///
/// let identity = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
/// assert_eq!(RowKeys::progress(&identity), "sapphirestile/jobs/5c0e7a21d94b36f8");
/// assert_eq!(RowKeys::identity_of(&RowKeys::progress(&identity)), Some(identity));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RowKeys;

impl RowKeys {
    /// The key of the row that names the owner.
    #[must_use]
    pub const fn ownership() -> &'static str {
        OWNERSHIP
    }

    /// The key of the row that counts waiting jobs per queue.
    #[must_use]
    pub const fn counts() -> &'static str {
        COUNTS
    }

    /// The key of the row that holds the owners' learnt estimates.
    #[must_use]
    pub const fn learnt() -> &'static str {
        LEARNT
    }

    /// The common prefix of the keys of specifications and cancellations.
    #[must_use]
    pub const fn intake_prefix() -> &'static str {
        INTAKE
    }

    /// The common prefix of the keys of job progress.
    #[must_use]
    pub const fn progress_prefix() -> &'static str {
        RECORDS
    }

    /// The key of a job's specification.
    #[must_use]
    pub fn spec(identity: &JobIdentity) -> String {
        format!("{INTAKE}{identity}")
    }

    /// The key of a job's cancellation.
    #[must_use]
    pub fn cancellation(identity: &JobIdentity) -> String {
        format!("{INTAKE}{identity}{CANCELLED}")
    }

    /// The key of a job's progress.
    #[must_use]
    pub fn progress(identity: &JobIdentity) -> String {
        format!("{RECORDS}{identity}")
    }

    /// Parses the job identity from the key of a specification or of job progress.
    #[must_use]
    pub fn identity_of(key: &str) -> Option<JobIdentity> {
        let name = key.strip_prefix(INTAKE).or(key.strip_prefix(RECORDS))?;
        JobIdentity::try_from(name).ok()
    }

    /// Parses the job identity from the key of a cancellation.
    #[must_use]
    pub fn cancelled_identity_of(key: &str) -> Option<JobIdentity> {
        let name = key.strip_prefix(INTAKE)?.strip_suffix(CANCELLED)?;
        JobIdentity::try_from(name).ok()
    }
}
