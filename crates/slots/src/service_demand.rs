//! Demand of the members for each runner of a service.

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
/// The demand of a member for runners of its own region is its full demand. Its
/// demand for runners of another region is limited to what its own region's runners
/// cannot serve and the other region can spare. At each such runner one member
/// represents its whole region, so that small demands add up to whole tokens, and
/// gets at least one. Tokens that no other region requests stay in the runner's
/// region. Runners of a region without members are shared by all members.
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
/// let (local, remote) = (member("vm-1"), member("vm-2"));
/// let (coast, inland) = (
///     RegionName::try_from("coast").unwrap(),
///     RegionName::try_from("inland").unwrap(),
/// );
/// let runner = RunnerName::try_from("runner-1").unwrap();
/// let supply = RunnerSupply { runner: &runner, region: Some(&coast), tokens: 8 };
/// let wants = |member, region| MemberDemand { member, region: Some(region), weight: 3_000 };
/// let demand = ServiceDemand::new(
///     vec![wants(&local, &coast), wants(&remote, &inland)],
///     &[supply],
/// );
/// // The inland member has no runners in its region, so it gets a part of those on the
/// // coast.
/// let plan = HandoverPlan::new(&demand.demands_at(&supply, |_| 4));
/// assert!(plan.orders().is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct ServiceDemand<'a> {
    members: Vec<MemberDemand<'a>>,
    regions: SortedTable<Option<&'a RegionName>, RegionDemand>,
    balance: RegionBalance,
    /// The demand of all members for the runners of regions without members.
    common: RegionDemand,
}

impl<'a> ServiceDemand<'a> {
    /// Creates the demand of `members` for the runners of a service, given by
    /// `supplies`.
    #[must_use]
    pub fn new(members: Vec<MemberDemand<'a>>, supplies: &[RunnerSupply<'a>]) -> Self {
        let mut regions: SortedTable<Option<&RegionName>, RegionDemand> = SortedTable::new();
        let mut common = RegionDemand::default();
        for (index, demand) in members.iter().enumerate() {
            let region = regions.get_or_insert_with(demand.region, RegionDemand::default);
            region.add_member(index, demand.weight);
            common.add_member(index, demand.weight);
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

    /// The demand of each member for one runner. `tokens_of` returns the number of the
    /// runner's tokens held by the member at an index of the members.
    #[must_use]
    pub fn demands_at(
        &self,
        supply: &RunnerSupply<'_>,
        tokens_of: impl Fn(usize) -> u32,
    ) -> Vec<TokenDemand<'a>> {
        let weights = self.weights_at(supply);
        let demands = self.members.iter().zip(weights).enumerate();
        demands
            .map(|(index, (demand, weight))| TokenDemand {
                member: demand.member,
                tokens: tokens_of(index),
                weight,
                floor: weight.min(1),
            })
            .collect()
    }

    /// The weight of each member at a runner; zero where another member represents its
    /// region.
    fn weights_at(&self, supply: &RunnerSupply<'_>) -> Vec<u32> {
        let Some(giver) = self.regions.get(&supply.region) else {
            return self.local_weights(&self.common, self.common.shared(), |_| true);
        };
        let mut weights = vec![0; self.members.len()];
        let mut requested = 0;
        let hash = name_hash(supply.runner.as_str());
        let regions = self.regions.iter();
        for (_, requester) in regions.filter(|(region, _)| **region != supply.region) {
            let index = requester.delegate(hash);
            let weight = self.members[index].weight;
            weights[index] =
                requester.remote_part(weight, self.balance.requested(requester, giver));
            requested += u64::from(weights[index]);
        }
        let kept = giver.shared().saturating_sub(requested);
        let local = self.local_weights(giver, kept, |demand| demand.region == supply.region);
        let pairs = weights.iter().zip(local);
        pairs.map(|(remote, local)| local.max(*remote)).collect()
    }

    /// The weights of the members in a runner's region, for which `is_local` returns
    /// `true` and which keep `kept` tokens; zero for the others.
    fn local_weights(
        &self,
        giver: &RegionDemand,
        kept: u64,
        is_local: impl Fn(&MemberDemand<'_>) -> bool,
    ) -> Vec<u32> {
        let weight = |demand: &MemberDemand<'_>| {
            if is_local(demand) {
                giver.local_part(demand.weight, kept)
            } else {
                0
            }
        };
        self.members.iter().map(weight).collect()
    }
}
