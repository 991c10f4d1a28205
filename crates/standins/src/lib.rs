//! Small stand-ins of the platform, for tests and for trying out.
//!
//! Each of [`store`], [`vms`], [`worker`] and [`runner`] has a state that
//! decides without I/O, with the time passed in, a service that answers HTTP
//! calls from it, and a stand-in that serves it on an address. [`serving`]
//! carries all four, [`machine`] couples a runner with the worker beside it, and
//! [`command`] starts one from a command line.

pub mod clock;
pub mod command;
pub mod fleet;
pub mod machine;
pub mod runner;
pub mod serving;
pub mod store;
pub mod vms;
pub mod worker;
