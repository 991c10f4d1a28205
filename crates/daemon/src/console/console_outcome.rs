//! The outcome of a change.

use sapphirestile_wire::api::CallRefusal;
use sapphirestile_wire::api::DocumentAccepted;
use sapphirestile_wire::api::DocumentConflict;
use sapphirestile_wire::api::DocumentRefused;

/// The outcome of writing a change of the document, as the API reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConsoleOutcome {
    /// The change is in force; a dry run passed its check.
    Accepted(DocumentAccepted),
    /// Another change was written since the revision that this one is based on.
    Conflict(DocumentConflict),
    /// The new document is not valid.
    Refused(DocumentRefused),
    /// The change was not written, or it is unknown whether it was.
    Failed(CallRefusal),
}
