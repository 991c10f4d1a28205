//! The life cycle of a change to the configuration document.

mod active_phase;
mod checked_phase;
mod draft_phase;

use crate::ConfigRevision;
use crate::DocumentError;
use crate::OperatorDocument;

pub use active_phase::ActivePhase;
pub use checked_phase::CheckedPhase;
pub use draft_phase::DraftPhase;

/// A change to the configuration document, in one phase of its life cycle.
///
/// The phases are [`DraftPhase`], [`CheckedPhase`] and [`ActivePhase`].
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ConfigRevision;
/// use sapphirestile_core::DocumentCycle;
///
/// let text = "[region r]\nlink_mbit = 1\n[zone a]\nregion = r\nstate = in\n";
/// let checked = DocumentCycle::draft(text).check().unwrap();
/// let active = checked.commit(ConfigRevision::new(7));
/// assert_eq!(active.revision().get(), 7);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentCycle<Phase> {
    phase: Phase,
}

impl<'t> DocumentCycle<DraftPhase<'t>> {
    /// A draft with the text as an operator wrote it.
    #[must_use]
    pub const fn draft(text: &'t str) -> Self {
        Self {
            phase: DraftPhase { text },
        }
    }

    /// Parses and validates the whole draft.
    ///
    /// # Errors
    ///
    /// A [`DocumentError`] with all faults of the draft.
    pub fn check(self) -> Result<DocumentCycle<CheckedPhase>, DocumentError> {
        let document = OperatorDocument::try_from(self.phase.text)?;
        let text = self.phase.text.into();
        Ok(DocumentCycle {
            phase: CheckedPhase { text, document },
        })
    }
}

impl DocumentCycle<CheckedPhase> {
    /// The text to write to the store.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.phase.text
    }

    /// The document that was parsed from the text.
    #[must_use]
    pub const fn document(&self) -> &OperatorDocument {
        &self.phase.document
    }

    /// Makes the document active, after the store accepted it at `revision`.
    #[must_use]
    pub fn commit(self, revision: ConfigRevision) -> DocumentCycle<ActivePhase> {
        let CheckedPhase { text, document } = self.phase;
        DocumentCycle {
            phase: ActivePhase {
                text,
                document,
                revision,
            },
        }
    }
}

impl DocumentCycle<ActivePhase> {
    /// The empty document at revision 0, which is active until the first one is
    /// committed.
    #[must_use]
    pub fn empty() -> Self {
        let document = OperatorDocument::default();
        let revision = ConfigRevision::new(0);
        Self {
            phase: ActivePhase {
                text: "".into(),
                document,
                revision,
            },
        }
    }

    /// The document's text as stored.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.phase.text
    }

    /// The active document.
    #[must_use]
    pub const fn document(&self) -> &OperatorDocument {
        &self.phase.document
    }

    /// The revision of the active document.
    #[must_use]
    pub const fn revision(&self) -> ConfigRevision {
        self.phase.revision
    }
}
