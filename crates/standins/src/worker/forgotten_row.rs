//! An attempt that is no longer reported.

use sapphirestile_wire::worker::AttemptName;

/// An attempt that is no longer reported, kept for owners whose last
/// received report still has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ForgottenRow {
    pub(super) name: AttemptName,
    /// The number of the first report without the attempt.
    pub(super) since: u64,
}
