//! Capacity tool: measures how state, messages and processor time grow.
//!
//! Each [`CapacityPart`] runs the production types at several sizes and returns
//! [`ResultTable`]s: [`message_sizes`] is the same on every machine, [`processor_times`]
//! and [`memory_growth`] are measured on this machine, [`session_bytes`] counts the bytes
//! of a worker session on the wire, and [`measure_fleet`] runs daemon processes against
//! stand-ins. The figures of `docs/CAPACITY.md` are derived from these tables.

mod capacity_options;
mod capacity_part;
mod fixtures;
mod fleet;
mod memory;
mod messages;
mod processor;
mod report;
mod run_part;
mod sessions;
mod size_selection;

pub use capacity_options::CapacityOptions;
pub use capacity_part::CapacityPart;
pub use fleet::measure_fleet;
pub use memory::memory_growth;
pub use messages::message_sizes;
pub use processor::processor_times;
pub use report::ResultTable;
pub use report::TimingSummary;
pub use run_part::run_part;
pub use sessions::SessionLoad;
pub use sessions::busy_worker_bytes;
pub use sessions::session_bytes;
pub use size_selection::SizeSelection;
