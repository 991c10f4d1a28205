//! A demonstration without a platform, for trying out the daemon only.
//!
//! A [`TryoutRun`] starts a daemon and a fleet of stand-ins for the platform in this
//! process, puts a document in force, sends one request, submits one job, and reports the
//! results.

mod tryout_run;

pub use tryout_run::TryoutRun;
