//! The operators' configuration document: zones, regions, services and customers.
//!
//! `TryFrom` parses INI text into an [`OperatorDocument`]. It validates the whole
//! text and reports all faults together in a [`DocumentError`]. The document's
//! [`ColocationEntry`] sets how far batch tasks may slow down services. A
//! [`DocumentCycle`] is the life cycle of one change: a draft is checked, and a
//! checked document becomes active at the revision that the store gave to its write.
//!
//! A console form or an API call that changes one section makes a [`DocumentEdit`],
//! which rewrites the active text. A [`DocumentDifference`] is the difference of two
//! texts, with one [`ValueChange`] for each key.

mod cells_entry;
mod colocation_entry;
mod customer_entry;
mod document_cycle;
mod document_difference;
mod document_edit;
mod document_error;
mod operator_document;
mod region_entry;
mod section_text;
mod service_entry;
mod value_change;
mod zone_entry;
mod zone_state;

pub use cells_entry::CellsEntry;
pub use colocation_entry::ColocationEntry;
pub use customer_entry::CustomerEntry;
pub use document_cycle::ActivePhase;
pub use document_cycle::CheckedPhase;
pub use document_cycle::DocumentCycle;
pub use document_cycle::DraftPhase;
pub use document_difference::DocumentDifference;
pub use document_edit::DocumentEdit;
pub use document_error::DocumentError;
pub use operator_document::OperatorDocument;
pub use region_entry::RegionEntry;
pub use service_entry::ServiceEntry;
pub use value_change::ValueChange;
pub use zone_entry::ZoneEntry;
pub use zone_state::ZoneState;
