//! The embedded default, for trying out only.
//!
//! A [`TryoutPlatform`] runs small stand-ins of the platform inside this
//! process. [`TryoutRun`] starts a daemon on it, puts a configuration in force,
//! sends one request and submits one job, and says what it saw.

mod tryout_platform;
mod tryout_run;

pub use tryout_platform::TryoutPlatform;
pub use tryout_run::TryoutRun;
