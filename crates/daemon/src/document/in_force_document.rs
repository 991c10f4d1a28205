//! The configuration in force.

use sapphirestile_core::ActivePhase;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentCycle;
use sapphirestile_core::DocumentError;
use sapphirestile_core::OperatorDocument;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::StoredDocument;

/// The document in force, with who wrote it and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForceDocument {
    cycle: DocumentCycle<ActivePhase>,
    stored: Option<StoredDocument>,
}

impl Default for InForceDocument {
    fn default() -> Self {
        Self {
            cycle: DocumentCycle::empty(),
            stored: None,
        }
    }
}

impl InForceDocument {
    /// The document that the store holds at `revision`.
    ///
    /// # Errors
    ///
    /// The faults of a document that was not checked before it was written.
    pub fn read(stored: StoredDocument, revision: ConfigRevision) -> Result<Self, DocumentError> {
        let cycle = DocumentCycle::draft(&stored.text).check()?.commit(revision);
        Ok(Self {
            cycle,
            stored: Some(stored),
        })
    }

    /// The checked document.
    #[must_use]
    pub const fn document(&self) -> &OperatorDocument {
        self.cycle.document()
    }

    /// The revision in force.
    #[must_use]
    pub const fn revision(&self) -> ConfigRevision {
        self.cycle.revision()
    }

    /// What the store holds; nothing before the first change.
    #[must_use]
    pub const fn stored(&self) -> Option<&StoredDocument> {
        self.stored.as_ref()
    }

    /// The document's text.
    #[must_use]
    pub fn text(&self) -> &str {
        self.cycle.text()
    }

    /// The document as operators see it.
    #[must_use]
    pub fn view(&self) -> DocumentView {
        match &self.stored {
            Some(stored) => stored.view(self.revision()),
            None => DocumentView {
                revision: self.revision(),
                text: String::new(),
                author: String::new(),
                changed_unix_ms: 0,
            },
        }
    }

    /// The later of both documents.
    #[must_use]
    pub fn later<'d>(&'d self, other: &'d Self) -> &'d Self {
        if other.revision() > self.revision() {
            other
        } else {
            self
        }
    }
}
