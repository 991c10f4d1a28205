//! What came of a change.

use sapphirestile_wire::api::CallRefusal;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::DocumentRefused;

/// What came of writing a change of the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is in force.
    Accepted(DocumentAccepted),
    /// Another change was first.
    Conflict(DocumentConflict),
    /// It is not valid.
    Refused(DocumentRefused),
    /// It was not run, or its outcome is unknown.
    Failed(CallRefusal),
}
