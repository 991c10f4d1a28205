//! The phase of a document that was validated but not yet stored.

use crate::OperatorDocument;

/// A valid document that is not yet stored, with its text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CheckedPhase {
    pub(super) text: Box<str>,
    pub(super) document: OperatorDocument,
}
