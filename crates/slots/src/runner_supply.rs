//! What one runner offers to the members.

use sapphirestile_core::RegionName;
use sapphirestile_core::RunnerName;

/// The tokens of one runner that take part in a plan.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSupply<'a> {
    /// The runner.
    pub runner: &'a RunnerName,
    /// Where it lies; nothing when its zone is not in the document.
    pub region: Option<&'a RegionName>,
    /// Its tokens that members hold and may use now.
    pub tokens: u32,
}
