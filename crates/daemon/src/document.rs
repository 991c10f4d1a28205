//! The operators' document in force, and changes to it.
//!
//! An [`ActiveDocument`] is the document at a revision of the store. It is replaced only
//! by a document of a higher revision. A [`DocumentWriter`] checks a change (for one, with
//! a [`CellCountCheck`]), writes it with a compare-and-swap and, if the store's response
//! was lost, reads the document back to determine the [`ChangeOutcome`].

mod active_document;
mod cell_count_check;
mod change_outcome;
mod document_writer;

pub use active_document::ActiveDocument;
pub use cell_count_check::CellCountCheck;
pub use change_outcome::ChangeOutcome;
pub use document_writer::DocumentWriter;

pub(crate) use document_writer::publish;
