//! The document in force.

use sapphirestile_core::ActivePhase;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DocumentCycle;
use sapphirestile_core::DocumentError;
use sapphirestile_core::OperatorDocument;
use sapphirestile_wire::api::DocumentView;
use sapphirestile_wire::api::StoredDocument;

/// The document in force, with its author and the time of the change; empty by default.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveDocument {
    cycle: DocumentCycle<ActivePhase>,
    stored: Option<StoredDocument>,
}

impl Default for ActiveDocument {
    fn default() -> Self {
        Self {
            cycle: DocumentCycle::empty(),
            stored: None,
        }
    }
}

impl ActiveDocument {
    /// Checks the document that the store holds at `revision`.
    ///
    /// # Errors
    ///
    /// The faults, if the document was written without a check.
    pub fn parse(stored: StoredDocument, revision: ConfigRevision) -> Result<Self, DocumentError> {
        let cycle = DocumentCycle::draft(&stored.text).check()?.commit(revision);
        Ok(Self {
            cycle,
            stored: Some(stored),
        })
    }

    /// The parsed document.
    #[must_use]
    pub const fn document(&self) -> &OperatorDocument {
        self.cycle.document()
    }

    /// The revision of the store; zero before the first change.
    #[must_use]
    pub const fn revision(&self) -> ConfigRevision {
        self.cycle.revision()
    }

    /// The document as it is stored; `None` before the first change.
    #[must_use]
    pub const fn stored(&self) -> Option<&StoredDocument> {
        self.stored.as_ref()
    }

    /// The text of the document; empty before the first change.
    #[must_use]
    pub fn text(&self) -> &str {
        self.cycle.text()
    }

    /// The document as the API shows it.
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

    /// The document with the higher revision, or `self` if both are equal.
    #[must_use]
    pub fn later<'d>(&'d self, other: &'d Self) -> &'d Self {
        if other.revision() > self.revision() {
            other
        } else {
            self
        }
    }
}
