//! The action that a form requests.

use sapphirestile_core::DocumentEdit;
use sapphirestile_core::DocumentError;
use sapphirestile_core::OperatorDocument;

/// The action that a form requests, before it is applied to the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormAction {
    /// Change one section.
    Edit(DocumentEdit),
    /// Check a new text of the whole document and show what it would change.
    Check(String),
    /// Write a new text of the whole document.
    Write(String),
}

impl FormAction {
    /// The new text of the document whose text is `current`.
    ///
    /// # Errors
    ///
    /// The faults if the new text is not a valid document.
    pub(super) fn apply_to(&self, current: &str) -> Result<String, DocumentError> {
        match self {
            Self::Edit(edit) => edit.rewrite(current),
            Self::Check(text) | Self::Write(text) => {
                OperatorDocument::try_from(text.as_str())?;
                Ok(text.clone())
            }
        }
    }

    /// `true` if the operator must confirm the action, because it removes a section.
    pub(super) const fn needs_confirmation(&self) -> bool {
        matches!(
            self,
            Self::Edit(DocumentEdit::RemoveService { .. } | DocumentEdit::RemoveCustomer { .. })
        )
    }

    /// The new text of the whole document; `None` for an edit.
    pub(super) fn whole_text(&self) -> Option<&str> {
        match self {
            Self::Edit(_) => None,
            Self::Check(text) | Self::Write(text) => Some(text),
        }
    }
}
