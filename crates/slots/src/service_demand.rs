//! What the members want of each runner of a service.

use crate::MemberDemand;
use crate::RunnerSupply;
use crate::TokenDemand;
use crate::region_balance::RegionBalance;
use crate::region_demand::RegionDemand;
use crate::token_split::name_hash;
use sapphirestile_core::RegionName;
use sapphirestile_core::SortedTable;

/// The demand of all members for one service, by region.
///
/// A member wants the runners of its own region by its whole demand. The runners of
/// another region it wants by the part of its region's demand that the own runners
/// leave unmet and the others have to spare, and only at its share of them: at each,
/// one member stands for all of its region, so that small demands make whole tokens,
/// and is to have one at least. What no other region asks for stays with the region
/// of the runner. Runners of a region without members are wanted by all alike.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_core::RegionName;
/// use sapphirestile_core::RunnerName;
/// use sapphirestile_slots::HandoverPlan;
/// use sapphirestile_slots::MemberDemand;
/// use sapphirestile_slots::RunnerSupply;
/// use sapphirestile_slots::ServiceDemand;
///
/// let member = |name| DaemonIdentity {
///     daemon: DaemonName::try_from(name).unwrap(),
///     incarnation: IncarnationNumber::new(1),
/// };
/// let (here, there) = (member("vm-1"), member("vm-2"));
/// let (coast, inland) = (
///     RegionName::try_from("coast").unwrap(),
///     RegionName::try_from("inland").unwrap(),
/// );
/// let runner = RunnerName::try_from("runner-1").unwrap();
/// let supply = RunnerSupply { runner: &runner, region: Some(&coast), tokens: 8 };
/// let wants = |member, region| MemberDemand { member, region: Some(region), weight: 3_000 };
/// let demand = ServiceDemand::new(
///     vec![wants(&here, &coast), wants(&there, &inland)],
///     &[supply],
/// );
/// // The member inland has no runners there, so it has its part of those here.
/// let plan = HandoverPlan::new(&demand.at(&supply, |_| 4));
/// assert!(plan.orders().is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct ServiceDemand<'a> {
    members: Vec<MemberDemand<'a>>,
    regions: SortedTable<Option<&'a RegionName>, RegionDemand>,
    balance: RegionBalance,
    /// The runners of regions without members, wanted by all members.
    common: RegionDemand,
}

impl<'a> ServiceDemand<'a> {
    /// The demand of `members` for the runners of a service, `supplies`.
    #[must_use]
    pub fn new(members: Vec<MemberDemand<'a>>, supplies: &[RunnerSupply<'a>]) -> Self {
        let mut regions: SortedTable<Option<&RegionName>, RegionDemand> = SortedTable::new();
        let mut common = RegionDemand::default();
        for (place, demand) in members.iter().enumerate() {
            let region = regions.get_or_insert_with(demand.region, RegionDemand::default);
            region.add_member(place, demand.weight);
            common.add_member(place, demand.weight);
        }
        let others = regions.len().saturating_sub(1);
        let others = u32::try_from(others).unwrap_or(u32::MAX);
        for supply in supplies {
            match regions.get_mut(&supply.region) {
                Some(region) => region.add_supply(supply.tokens, others),
                None => common.add_supply(supply.tokens, 0),
            }
        }
        let balance = RegionBalance::new(&regions);
        Self {
            members,
            regions,
            balance,
            common,
        }
    }

    /// What each member wants of one runner, of which it holds `tokens_of` its
    /// place.
    #[must_use]
    pub fn at(
        &self,
        supply: &RunnerSupply<'_>,
        tokens_of: impl Fn(usize) -> u32,
    ) -> Vec<TokenDemand<'a>> {
        let weights = self.weights_at(supply);
        let demands = self.members.iter().zip(weights).enumerate();
        demands
            .map(|(place, (demand, weight))| TokenDemand {
                member: demand.member,
                tokens: tokens_of(place),
                weight,
                floor: weight.min(1),
            })
            .collect()
    }

    /// The weight of each member at a runner; zero where another stands for it.
    fn weights_at(&self, supply: &RunnerSupply<'_>) -> Vec<u32> {
        let Some(giver) = self.regions.get(&supply.region) else {
            return self.near_weights(&self.common, self.common.shared(), |_| true);
        };
        let mut weights = vec![0; self.members.len()];
        let mut asked = 0;
        let hash = name_hash(supply.runner.as_str());
        let regions = self.regions.iter();
        for (_, asker) in regions.filter(|(region, _)| **region != supply.region) {
            let place = asker.delegate(hash);
            let weight = self.members[place].weight;
            weights[place] = asker.far_part(weight, self.balance.asked(asker, giver));
            asked += u64::from(weights[place]);
        }
        let kept = giver.shared().saturating_sub(asked);
        let near = self.near_weights(giver, kept, |demand| demand.region == supply.region);
        let sums = weights.iter().zip(near);
        sums.map(|(far, near)| near.max(*far)).collect()
    }

    /// The weights of the members near a runner, of which they keep `kept`.
    fn near_weights(
        &self,
        giver: &RegionDemand,
        kept: u64,
        near: impl Fn(&MemberDemand<'_>) -> bool,
    ) -> Vec<u32> {
        let weight = |demand: &MemberDemand<'_>| {
            if near(demand) {
                giver.near_part(demand.weight, kept)
            } else {
                0
            }
        };
        self.members.iter().map(weight).collect()
    }
}
