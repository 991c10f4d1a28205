//! Gauges that always have tokens.

use sapphirestile_core::RunnerName;
use sapphirestile_slots::TokenGauges;

/// Gauges whose tokens no request ever uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct FreeTokens;

impl TokenGauges for FreeTokens {
    fn add(&self, _: &RunnerName, _: u32) {}

    fn remove_free(&self, _: &RunnerName, most: u32) -> u32 {
        most
    }
}
