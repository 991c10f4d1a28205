//! What became of a change of the configuration.

use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentError;
use sapphirestile_wire::api::DocumentView;

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It passed its check and nothing was written, as asked.
    Checked,
    /// It is in the store at this revision.
    Accepted(ConfigRevision),
    /// It is wrong; nothing was written.
    Refused(DocumentError),
    /// Another change came first; nothing was written.
    Conflict(DocumentView),
    /// The store was not reached; nothing was written.
    NotRun(String),
    /// The answer was lost and could not be read back.
    Unknown,
}
