//! A change that a form asks for.

use crate::console::ConsolePart;
use crate::console::ConsoleSession;
use crate::console::FormFields;
use sapphirestile_wire::api::DocumentChange;

/// A valid change for the caller to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsoleChange {
    /// The change of the whole document.
    pub change: DocumentChange,
    /// The part of the console that it came from.
    pub part: ConsolePart,
    /// Who asks.
    pub session: ConsoleSession,
    /// The form, to offer it again after a conflict.
    pub fields: FormFields,
}
