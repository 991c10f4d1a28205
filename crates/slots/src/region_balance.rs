//! What regions ask of each other.

use crate::region_demand::RegionDemand;
use crate::scaled_part::scaled_part;
use sapphirestile_core::SortedTable;

const MILLI: u64 = 1_000;
/// Demand above what is in flight that a region asks for, since requests come
/// unevenly.
const HEADROOM_MILLI: u64 = 1_250;

/// The demand and supply of all regions.
///
/// A region wants its demand with some headroom, or its part of all tokens when they
/// are too few for that. So a region that asks for tokens meets only regions that
/// have some to spare, and no two ask each other.
#[derive(Clone, Copy, Debug)]
pub struct RegionBalance {
    weight: u64,
    supply: u64,
    spare: u64,
}

impl RegionBalance {
    /// The balance of `regions`.
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

    /// What `asker` asks for at the runners of `giver`.
    pub fn asked(&self, asker: &RegionDemand, giver: &RegionDemand) -> u64 {
        scaled_part(self.unmet_of(asker), self.spare_of(giver), self.spare)
    }

    fn unmet_of(&self, region: &RegionDemand) -> u64 {
        self.wanted(region).saturating_sub(region.supply())
    }

    fn spare_of(&self, region: &RegionDemand) -> u64 {
        region.supply().saturating_sub(self.wanted(region))
    }

    fn wanted(&self, region: &RegionDemand) -> u64 {
        let ample = scaled_part(region.weight(), HEADROOM_MILLI, MILLI);
        ample.min(scaled_part(region.weight(), self.supply, self.weight))
    }
}
