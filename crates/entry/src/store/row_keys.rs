//! Keys of the rows in the store.

use sapphirestile_core::CellNumber;
use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::TaskIdentity;

const DOCUMENTS: &str = "sapphirestile/documents/deflate/";
const CELLS: &str = "sapphirestile/cells/";
const LAYOUT: &str = "sapphirestile/cells/layout";
const OWNERSHIP: &str = "sapphirestile/cells/head-";
const COUNTS: &str = "sapphirestile/counts/";
const LEARNT: &str = "sapphirestile/learnt/";
const HOMES: &str = "sapphirestile/homes/";
const INTAKE: &str = "sapphirestile/intake/";
const RECORDS: &str = "sapphirestile/records/";
const CANCELLED: &str = "/cancelled";
const DELEGATED: &str = "/delegated/";
const RETURNED: &str = "/returned/";
const GUEST: &str = "/guest";
const ENDED: &str = "/ended/";

/// Builds and parses the keys of rows. Rows that an owner lists or watches begin with the
/// number of its cell.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CellNumber;
/// use sapphirestile_entry::RowKeys;
/// use sapphirestile_jobs::JobIdentity;
///
/// let cell = CellNumber::new(3);
/// let identity = JobIdentity::try_from("5c0e7a21d94b36f8").unwrap();
/// let key = RowKeys::progress(cell, &identity);
/// assert_eq!(key, "sapphirestile/records/3/5c0e7a21d94b36f8");
/// assert_eq!(RowKeys::identity_of(&key), Some(identity));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RowKeys;

impl RowKeys {
    /// The common prefix of the keys of the layout and of all ownership rows.
    #[must_use]
    pub const fn cells_prefix() -> &'static str {
        CELLS
    }

    /// The key of the assignment of racks to cells.
    #[must_use]
    pub const fn layout() -> &'static str {
        LAYOUT
    }

    /// The key of the row that names the owner of a cell.
    #[must_use]
    pub fn ownership(cell: CellNumber) -> String {
        format!("{OWNERSHIP}{cell}")
    }

    /// Parses the cell from the key of an ownership row.
    #[must_use]
    pub fn owned_cell_of(key: &str) -> Option<CellNumber> {
        let number = key.strip_prefix(OWNERSHIP)?.parse().ok()?;
        Some(CellNumber::new(number))
    }

    /// The key of the copy of the operators' document at a revision. It names the format, so
    /// that a daemon of another version takes no copy that it cannot read. No key begins with
    /// another one.
    #[must_use]
    pub fn document_copy(revision: u64) -> String {
        format!("{DOCUMENTS}{revision:020}")
    }

    /// The key of the row that counts the waiting jobs of a cell per queue.
    #[must_use]
    pub fn counts(cell: CellNumber) -> String {
        format!("{COUNTS}{cell}")
    }

    /// The common prefix of the keys of all counts.
    #[must_use]
    pub const fn counts_prefix() -> &'static str {
        COUNTS
    }

    /// The key of the row that holds what the owners of a cell have learnt.
    #[must_use]
    pub fn learnt(cell: CellNumber) -> String {
        format!("{LEARNT}{cell}")
    }

    /// The common prefix of the keys of what all owners have learnt.
    #[must_use]
    pub const fn learnt_prefix() -> &'static str {
        LEARNT
    }

    /// The key of the row that says which cell has a job.
    #[must_use]
    pub fn home(identity: &JobIdentity) -> String {
        format!("{HOMES}{identity}")
    }

    /// The common prefix of the keys of a cell's specifications and cancellations.
    #[must_use]
    pub fn intake_prefix(cell: CellNumber) -> String {
        format!("{INTAKE}{cell}/")
    }

    /// The common prefix of the keys of the progress of a cell's jobs.
    #[must_use]
    pub fn progress_prefix(cell: CellNumber) -> String {
        format!("{RECORDS}{cell}/")
    }

    /// The key of a job's specification.
    #[must_use]
    pub fn spec(cell: CellNumber, identity: &JobIdentity) -> String {
        format!("{INTAKE}{cell}/{identity}")
    }

    /// The key of a job's cancellation.
    #[must_use]
    pub fn cancellation(cell: CellNumber, identity: &JobIdentity) -> String {
        format!("{INTAKE}{cell}/{identity}{CANCELLED}")
    }

    /// The key of a job's progress.
    #[must_use]
    pub fn progress(cell: CellNumber, identity: &JobIdentity) -> String {
        format!("{RECORDS}{cell}/{identity}")
    }

    /// The key of a task that another cell has delegated to this one, by the number of the
    /// transfer.
    #[must_use]
    pub fn delegated(cell: CellNumber, task: &TaskIdentity, run: u32) -> String {
        let (job, rest) = (task.job, within_job(task));
        format!("{INTAKE}{cell}/{job}{DELEGATED}{rest}.{run}")
    }

    /// The key of a task that another cell has given back to this one, by the number of the
    /// transfer.
    #[must_use]
    pub fn returned(cell: CellNumber, task: &TaskIdentity, run: u32) -> String {
        let (job, rest) = (task.job, within_job(task));
        format!("{INTAKE}{cell}/{job}{RETURNED}{rest}.{run}")
    }

    /// The key of the progress of the tasks that other cells have delegated to this one. It is
    /// apart from that of the job, which says how the job stands.
    #[must_use]
    pub fn guest_progress(cell: CellNumber, identity: &JobIdentity) -> String {
        format!("{RECORDS}{cell}/{identity}{GUEST}")
    }

    /// The key of the end of a run of a job that an owner has left out. It is listed with the
    /// progress of the jobs.
    #[must_use]
    pub fn unapplied_end(cell: CellNumber, task: &TaskIdentity, run: u32) -> String {
        let (job, rest) = (task.job, within_job(task));
        format!("{RECORDS}{cell}/{job}{ENDED}{rest}.{run}")
    }

    /// Parses the job identity from the key of the end of a run.
    #[must_use]
    pub fn ended_identity_of(key: &str) -> Option<JobIdentity> {
        let (_, rest) = key.strip_prefix(RECORDS)?.split_once('/')?;
        let (name, _) = rest.split_once(ENDED)?;
        JobIdentity::try_from(name).ok()
    }

    /// Whether the key is that of a delegated task.
    #[must_use]
    pub fn is_delegated(key: &str) -> bool {
        key.starts_with(INTAKE) && key.contains(DELEGATED)
    }

    /// Whether the key is that of a task that was given back.
    #[must_use]
    pub fn is_returned(key: &str) -> bool {
        key.starts_with(INTAKE) && key.contains(RETURNED)
    }

    /// Parses the job identity from the key of the progress of delegated tasks.
    #[must_use]
    pub fn guest_identity_of(key: &str) -> Option<JobIdentity> {
        let (_, name) = key.strip_prefix(RECORDS)?.split_once('/')?;
        JobIdentity::try_from(name.strip_suffix(GUEST)?).ok()
    }

    /// Parses the job identity from the key of a specification or of job progress.
    #[must_use]
    pub fn identity_of(key: &str) -> Option<JobIdentity> {
        let rest = key.strip_prefix(INTAKE).or(key.strip_prefix(RECORDS))?;
        let (_, name) = rest.split_once('/')?;
        JobIdentity::try_from(name).ok()
    }

    /// Parses the job identity from the key of any intake row.
    #[must_use]
    pub fn intake_identity_of(key: &str) -> Option<JobIdentity> {
        let (_, rest) = key.strip_prefix(INTAKE)?.split_once('/')?;
        let name = rest.split_once('/').map_or(rest, |(name, _)| name);
        JobIdentity::try_from(name).ok()
    }

    /// Parses the job identity from the key of a cancellation.
    #[must_use]
    pub fn cancelled_identity_of(key: &str) -> Option<JobIdentity> {
        let (_, name) = key.strip_prefix(INTAKE)?.split_once('/')?;
        JobIdentity::try_from(name.strip_suffix(CANCELLED)?).ok()
    }
}

/// A task within its job, as part of a key.
fn within_job(task: &TaskIdentity) -> String {
    format!("{}.{}.{}", task.occurrence, task.step, task.index)
}
