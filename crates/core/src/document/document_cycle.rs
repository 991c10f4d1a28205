//! The life of one change of the configuration.

mod checked_phase;
mod draft_phase;
mod in_force_phase;

use crate::ConfigRevision;
use crate::DocumentFault;
use crate::OperatorDocument;

pub use checked_phase::CheckedPhase;
pub use draft_phase::DraftPhase;
pub use in_force_phase::InForcePhase;

/// One change of the configuration, in one phase of its life.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::ConfigRevision;
/// use sapphirestile_core::DocumentCycle;
///
/// let text = "[region r]\nlink_mbit = 1\n[zone a]\nregion = r\nstate = in\n";
/// let checked = DocumentCycle::draft(text).check().unwrap();
/// let in_force = checked.commit(ConfigRevision::new(7));
/// assert_eq!(in_force.revision().get(), 7);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentCycle<Phase> {
    phase: Phase,
}

impl<'t> DocumentCycle<DraftPhase<'t>> {
    /// A draft, as an operator wrote it.
    #[must_use]
    pub const fn draft(text: &'t str) -> Self {
        Self {
            phase: DraftPhase { text },
        }
    }

    /// Checks the draft as a whole.
    ///
    /// # Errors
    ///
    /// Every fault of the draft, all at once.
    pub fn check(self) -> Result<DocumentCycle<CheckedPhase>, DocumentFault> {
        let document = OperatorDocument::try_from(self.phase.text)?;
        let text = self.phase.text.into();
        Ok(DocumentCycle {
            phase: CheckedPhase { text, document },
        })
    }
}

impl DocumentCycle<CheckedPhase> {
    /// The text to write into the store.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.phase.text
    }

    /// The checked document.
    #[must_use]
    pub const fn document(&self) -> &OperatorDocument {
        &self.phase.document
    }

    /// Takes note that the store holds the document at `revision`.
    #[must_use]
    pub fn commit(self, revision: ConfigRevision) -> DocumentCycle<InForcePhase> {
        let CheckedPhase { text, document } = self.phase;
        DocumentCycle {
            phase: InForcePhase {
                text,
                document,
                revision,
            },
        }
    }
}

impl DocumentCycle<InForcePhase> {
    /// The document before any was committed: nothing is in force but an empty one.
    #[must_use]
    pub fn empty() -> Self {
        let document = OperatorDocument::default();
        let revision = ConfigRevision::new(0);
        Self {
            phase: InForcePhase {
                text: "".into(),
                document,
                revision,
            },
        }
    }

    /// The text that the store holds.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.phase.text
    }

    /// The document in force.
    #[must_use]
    pub const fn document(&self) -> &OperatorDocument {
        &self.phase.document
    }

    /// The revision in force.
    #[must_use]
    pub const fn revision(&self) -> ConfigRevision {
        self.phase.revision
    }
}
