//! The operators' document: zones, regions, services and customers.
//!
//! Raw INI text becomes an [`OperatorDocument`] by `TryFrom`, which checks it
//! as a whole and names every fault in a [`DocumentFault`]. Its
//! [`ColocationEntry`] says how far batch tasks may slow services. The life of
//! one change is a [`DocumentCycle`]: a draft is checked, and a checked
//! document comes into force at the revision that the store gave to its write.
//!
//! A form or a call that changes one section makes a [`DocumentEdit`], which
//! rewrites the text in force. A [`DocumentDifference`] tells two texts apart,
//! one [`EntryChange`] for each key.

mod cells_entry;
mod colocation_entry;
mod customer_entry;
mod document_cycle;
mod document_difference;
mod document_edit;
mod document_fault;
mod entry_change;
mod operator_document;
mod region_entry;
mod section_text;
mod service_entry;
mod zone_entry;
mod zone_state;

pub use cells_entry::CellsEntry;
pub use colocation_entry::ColocationEntry;
pub use customer_entry::CustomerEntry;
pub use document_cycle::CheckedPhase;
pub use document_cycle::DocumentCycle;
pub use document_cycle::DraftPhase;
pub use document_cycle::InForcePhase;
pub use document_difference::DocumentDifference;
pub use document_edit::DocumentEdit;
pub use document_fault::DocumentFault;
pub use entry_change::EntryChange;
pub use operator_document::OperatorDocument;
pub use region_entry::RegionEntry;
pub use service_entry::ServiceEntry;
pub use zone_entry::ZoneEntry;
pub use zone_state::ZoneState;
