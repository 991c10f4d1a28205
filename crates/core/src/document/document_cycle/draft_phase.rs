//! The phase of a document as an operator wrote it.

/// A document that was not checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DraftPhase<'t> {
    pub(super) text: &'t str,
}
