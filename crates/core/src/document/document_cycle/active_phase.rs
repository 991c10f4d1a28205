//! The phase of a document that was committed to the store.

use crate::ConfigRevision;
use crate::OperatorDocument;

/// The active document, with its text and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActivePhase {
    pub(super) text: Box<str>,
    pub(super) document: OperatorDocument,
    pub(super) revision: ConfigRevision,
}
