//! The phase of a document that the store holds.

use crate::ConfigRevision;
use crate::OperatorDocument;

/// A document in force, with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForcePhase {
    pub(super) text: Box<str>,
    pub(super) document: OperatorDocument,
    pub(super) revision: ConfigRevision,
}
