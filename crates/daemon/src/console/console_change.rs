//! A change that a form requests.

use crate::console::ConsolePart;
use crate::console::ConsoleSession;
use crate::console::FormFields;
use sapphirestile_wire::api::DocumentChange;

/// A valid change for the calling code to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConsoleChange {
    /// The change of the whole document.
    pub change: DocumentChange,
    /// The part of the console whose form was sent.
    pub part: ConsolePart,
    /// The session of the operator who sent the form.
    pub session: ConsoleSession,
    /// The fields of the form, to offer it again after a conflict.
    pub fields: FormFields,
}
