//! The phase of a document that was not validated yet.

/// The text of a document that was not validated yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DraftPhase<'t> {
    pub(super) text: &'t str,
}
