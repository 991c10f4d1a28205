//! The phase of a document that was checked but not yet written.

use crate::OperatorDocument;

/// A document that passed its check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedPhase {
    pub(super) text: Box<str>,
    pub(super) document: OperatorDocument,
}
