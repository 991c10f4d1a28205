//! The configuration in force, and its changes.
//!
//! An [`InForceDocument`] is the operators' document at a revision of the
//! store. It is replaced only by one of a higher revision. A [`DocumentWriter`]
//! takes a change through check ([`CellsCheck`] among others), compare-and-swap
//! and, after a lost answer, read-back to a [`ChangeOutcome`].

mod cells_check;
mod change_outcome;
mod document_writer;
mod in_force_document;

pub use cells_check::CellsCheck;
pub use change_outcome::ChangeOutcome;
pub use document_writer::DocumentWriter;
pub use in_force_document::InForceDocument;

pub(crate) use document_writer::publish;
