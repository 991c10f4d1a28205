//! A row that is no longer reported.

use sapphirestile_wire::worker::AttemptName;

/// A row that is no longer reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct ForgottenRow {
    pub(super) name: AttemptName,
    /// The number of the first report without it.
    pub(super) since: u64,
}
