//! How a worker comes back after a loss of power.

/// How a worker comes back after a loss of power.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerReturn {
    /// Under its own name.
    SameName,
    /// Under another name at the same address.
    OtherName,
    /// Not at all.
    Never,
}
