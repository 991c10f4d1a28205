//! The outcome of a change to the document.

use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentError;
use sapphirestile_wire::api::DocumentView;

/// The outcome of a change to the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change of a dry run passed its check; nothing was written.
    Checked,
    /// The change was written at this revision.
    Accepted(ConfigRevision),
    /// The change is not valid or not allowed; nothing was written.
    Refused(DocumentError),
    /// Another change was written first, and this is the document after it; nothing was
    /// written.
    Conflict(DocumentView),
    /// The store could not be reached, for this reason; nothing was written.
    NotRun(String),
    /// The response was lost and reading back did not show whether the change was written.
    Unknown,
}
