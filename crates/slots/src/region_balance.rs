//! Balance of demand and supply between regions.

use crate::mul_div::mul_div;
use crate::region_demand::RegionDemand;
use sapphirestile_core::SortedTable;

const MILLI: u64 = 1_000;
/// The factor applied to a region's demand to absorb fluctuations, in thousandths.
const HEADROOM_MILLI: u64 = 1_250;

/// The total demand and supply of all regions.
///
/// A region's target is its demand plus headroom, or its proportional part of all
/// tokens if there are too few. A region below its target requests tokens only from
/// regions above theirs, so no two regions request from each other.
#[derive(Clone, Copy, Debug)]
pub struct RegionBalance {
    weight: u64,
    supply: u64,
    spare: u64,
}

impl RegionBalance {
    /// Sums up `regions`.
    pub fn new<K>(regions: &SortedTable<K, RegionDemand>) -> Self
    where
        K: Ord,
    {
        let mut balance = Self {
            weight: regions.values().map(RegionDemand::weight).sum(),
            supply: regions.values().map(RegionDemand::supply).sum(),
            spare: 0,
        };
        let spare = regions.values().map(|region| balance.spare_of(region));
        balance.spare = spare.sum();
        balance
    }

    /// The demand of `requester` for the runners of `giver`, in thousandths of a token.
    pub fn requested(&self, requester: &RegionDemand, giver: &RegionDemand) -> u64 {
        mul_div(self.unmet_of(requester), self.spare_of(giver), self.spare)
    }

    fn unmet_of(&self, region: &RegionDemand) -> u64 {
        self.target_of(region).saturating_sub(region.supply())
    }

    fn spare_of(&self, region: &RegionDemand) -> u64 {
        region.supply().saturating_sub(self.target_of(region))
    }

    fn target_of(&self, region: &RegionDemand) -> u64 {
        let with_headroom = mul_div(region.weight(), HEADROOM_MILLI, MILLI);
        with_headroom.min(mul_div(region.weight(), self.supply, self.weight))
    }
}
