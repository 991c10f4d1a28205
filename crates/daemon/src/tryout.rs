//! The embedded default, for trying out only.
//!
//! [`TryoutRun`] starts a daemon on a fleet of stand-ins inside this process, puts
//! a configuration in force, sends one request and submits one job, and says what
//! it saw.

mod tryout_run;

pub use tryout_run::TryoutRun;
