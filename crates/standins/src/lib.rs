//! Test doubles ("stand-ins") of the platform's services, for tests and local trials.
//!
//! [`store`], [`vms`], [`worker`] and [`runner`] each simulate one service of the
//! platform. Each consists of a state that implements the rules without I/O, to which the
//! time is passed as an argument (a runner has only its slots and counters), a service
//! that handles HTTP requests, and a stand-in that serves them on an address. Faults are
//! injected with `POST /faults`.
//!
//! [`serving`] is the HTTP server of all four. [`machine`] makes the tasks of a worker slow
//! down the requests of a runner on the same machine. [`fleet`] runs all services of a
//! platform in one process, and [`command`] serves one of them from a command line.

pub mod clock;
pub mod command;
pub mod fleet;
pub mod machine;
pub mod runner;
pub mod serving;
pub mod store;
pub mod vms;
pub mod worker;
