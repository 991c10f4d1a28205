//! Where the request's path finds its tokens.

use sapphirestile_core::RunnerName;

/// The gauges of the request's path, one a runner.
pub trait TokenGauges {
    /// Adds tokens that requests may use from now on.
    fn add(&self, runner: &RunnerName, count: u32);

    /// Takes up to `most` tokens out that no request uses, and returns how many
    /// left. Requests cannot use them any more when this returns.
    fn remove_free(&self, runner: &RunnerName, most: u32) -> u32;
}
