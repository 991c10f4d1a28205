//! State of any size that the measurements run on.
//!
//! A [`CellFixture`] is an owned cell with running, waiting and ended tasks, whose workers
//! send a [`DueReport`] each second; a [`TokenFixture`] holds a token ledger and creates the
//! token holders of its members; [`RoutingFixture`] and [`VmListFixture`] create routing
//! tables and lists of VMs.

mod cell_fixture;
mod cell_size;
mod due_report;
mod idle_gauges;
mod names;
mod routing_fixture;
mod token_fixture;
mod vm_list_fixture;
mod zone_sections;

pub use cell_fixture::CellFixture;
pub use cell_size::CellSize;
pub use due_report::DueReport;
pub use idle_gauges::IdleGauges;
pub use names::array_spec;
pub use names::daemon_identity;
pub use names::task_name;
pub use names::worker_name;
pub use routing_fixture::RoutingFixture;
pub use token_fixture::TokenFixture;
pub use vm_list_fixture::VmListFixture;
pub use zone_sections::ZONES;
pub use zone_sections::zone_sections;
