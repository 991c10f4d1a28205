//! What is measured, built in any size.
//!
//! A [`CellScene`] is an owned cell with running, waiting and ended tasks, whose
//! workers give a [`DueReport`] each second; a [`TokenScene`] a ledger with the
//! holder of one member; [`RouteScene`] and [`VmScene`] make routing tables and
//! lists of VMs.

mod cell_scene;
mod cell_size;
mod due_report;
mod free_tokens;
mod names;
mod route_scene;
mod token_scene;
mod vm_scene;
mod zone_text;

pub use cell_scene::CellScene;
pub use cell_size::CellSize;
pub use due_report::DueReport;
pub use free_tokens::FreeTokens;
pub use names::identity;
pub use names::job_order;
pub use names::task_name;
pub use names::worker_name;
pub use route_scene::RouteScene;
pub use token_scene::TokenScene;
pub use vm_scene::VmScene;
pub use zone_text::ZONES;
pub use zone_text::zone_text;
