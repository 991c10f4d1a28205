//! The daemon `sapphirestiled`.
//!
//! It routes callers' requests to runners and schedules batch tasks on workers. The jobs
//! and workers are spread over cells, each owned by one daemon at a time. A
//! [`lifecycle::DaemonLifecycle`] takes a daemon from startup to a planned stop. All
//! parts share one [`context::DaemonContext`], passed explicitly:
//!
//! - [`settings`] reads and validates the settings at startup;
//! - [`document`] holds the configuration in force and writes changes to it;
//! - [`members`] registers the daemon, watches the rows that all daemons share, and
//!   exchanges heartbeats with the other daemons;
//! - [`vms`] polls the platform's list of VMs;
//! - [`tokens`] holds the tokens, each the right to use one slot of a runner;
//! - [`routes`] publishes the routing table that [`callers`] reads;
//! - [`callers`] serves callers' requests;
//! - [`cells`] claims cells, keeps their journals in the store and calls their workers;
//! - [`colocation`] measures how much batch tasks slow down requests on the same machine;
//! - [`panics`] decides whether a panic ends a connection or the process;
//! - [`peers`] forwards calls to the daemon that owns a cell;
//! - [`operators`] answers the command-line tool;
//! - [`console`] renders the operators' pages;
//! - [`metrics`] holds the exported metrics;
//! - [`serving`] provides the HTTP ports and the request gate of a planned stop;
//! - [`tryout`] runs a daemon with platform stand-ins in one process.

pub mod callers;
pub mod cells;
pub mod colocation;
pub mod console;
pub mod context;
pub mod document;
pub mod lifecycle;
pub mod members;
pub mod metrics;
pub mod operators;
pub mod panics;
pub mod peers;
pub mod routes;
pub mod settings;
pub mod tokens;
pub mod tryout;
pub mod vms;

pub use sapphirestile_serving as serving;
