//! Capacity tool: measures how state, messages and processor time grow.
//!
//! A [`CapacityPart`] drives the real types over several sizes and gives
//! [`ResultTable`]s: [`message_sizes`] is exact, [`processor_times`] and
//! [`memory_growth`] are measured on this machine, [`session_bytes`] counts
//! what a session puts on the wire, and [`fleet_rows`] runs real daemons on
//! stand-ins. `docs/CAPACITY.md` is worked out from these tables.

mod capacity_options;
mod capacity_part;
mod fleet;
mod memory;
mod messages;
mod processor;
mod report;
mod run_part;
mod scenes;
mod sessions;
mod size_scale;

pub use capacity_options::CapacityOptions;
pub use capacity_part::CapacityPart;
pub use fleet::fleet_rows;
pub use memory::memory_growth;
pub use messages::message_sizes;
pub use processor::processor_times;
pub use report::ResultTable;
pub use report::TimeSample;
pub use run_part::run_part;
pub use sessions::SessionLoad;
pub use sessions::session_bytes;
pub use sessions::steady_bytes;
pub use size_scale::SizeScale;
