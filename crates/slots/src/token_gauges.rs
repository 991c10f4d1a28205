//! Interface to the token counters used by requests.

use sapphirestile_core::RunnerName;

/// The counters that requests take tokens from, one for each runner.
pub trait TokenGauges {
    /// Adds tokens that requests may use from now on.
    fn add(&self, runner: &RunnerName, count: u32);

    /// Removes up to `most` tokens that no request uses, and returns the number removed.
    /// Requests cannot use these tokens once this returns.
    fn remove_free(&self, runner: &RunnerName, most: u32) -> u32;
}
