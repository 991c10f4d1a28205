//! What a form asks for.

use sapphirestile_core::DocumentEdit;
use sapphirestile_core::DocumentError;
use sapphirestile_core::OperatorDocument;

/// What a form asks for, before it is tried on the document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FormWish {
    /// Changes one section.
    Edit(DocumentEdit),
    /// Checks a whole text and shows what it would change.
    Check(String),
    /// Writes a whole text.
    Write(String),
}

impl FormWish {
    /// The valid text that takes the place of `current`.
    pub(super) fn text_over(&self, current: &str) -> Result<String, DocumentError> {
        match self {
            Self::Edit(edit) => edit.rewrite(current),
            Self::Check(text) | Self::Write(text) => {
                OperatorDocument::try_from(text.as_str())?;
                Ok(text.clone())
            }
        }
    }

    /// Whether the operator is asked once more before it is done.
    pub(super) const fn needs_confirmation(&self) -> bool {
        matches!(
            self,
            Self::Edit(DocumentEdit::RemoveService { .. } | DocumentEdit::RemoveCustomer { .. })
        )
    }

    /// The whole text, if the form has one.
    pub(super) fn whole_text(&self) -> Option<&str> {
        match self {
            Self::Edit(_) => None,
            Self::Check(text) | Self::Write(text) => Some(text),
        }
    }
}
