//! The daemon `sapphirestiled` and the operations it runs.
//!
//! A [`cycle::DaemonCycle`] takes a daemon from its settings to serving and
//! through a planned stop. All operations share one [`context::DaemonContext`],
//! passed explicitly:
//!
//! - [`document`] keeps the configuration in force and changes it;
//! - [`members`] registers the daemon and exchanges heartbeats with its peers;
//! - [`vms`] polls the platform's list of VMs;
//! - [`tokens`] holds the tokens of runners' slots;
//! - [`routes`] publishes the routing table that [`callers`] reads;
//! - [`cells`] owns cells: it claims them, keeps their journals, calls workers;
//! - [`colocation`] measures what requests suffer from batch tasks beside them;
//! - [`peers`] carries calls to the owner of a cell;
//! - [`operators`] answers the command-line tool;
//! - [`console`] renders the operators' forms;
//! - [`metrics`] counts what happens;
//! - [`serving`] holds the HTTP ports and the gate of a planned stop;
//! - [`settings`] checks what the daemon is told at its start;
//! - [`tryout`] runs a daemon on stand-ins inside one process.

pub mod callers;
pub mod cells;
pub mod colocation;
pub mod console;
pub mod context;
pub mod cycle;
pub mod document;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod routes;
pub mod settings;
pub mod tokens;
pub mod tryout;
pub mod vms;

pub use sapphirestile_serving as serving;
