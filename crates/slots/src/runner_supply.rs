//! Tokens of one runner available to the members.

use sapphirestile_core::RegionName;
use sapphirestile_core::RunnerName;

/// The tokens of one runner that a plan distributes.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSupply<'a> {
    /// The runner's name.
    pub runner: &'a RunnerName,
    /// Its region, or `None` if its zone is not in the operators' document.
    pub region: Option<&'a RegionName>,
    /// The number of its tokens that members hold and may use now.
    pub tokens: u32,
}
