//! Decision which members exchange tokens of a runner.

use crate::HandoverOrder;
use crate::TokenDemand;
use crate::handover_counters::signed;
use crate::mul_div::mul_div;
use sapphirestile_core::DaemonIdentity;

const MILLI: u64 = 1_000;
const TOKEN_MILLI: i64 = 1_000;
/// The difference in surplus from which a token moves, in thousandths of a token.
const HYSTERESIS_MILLI: i64 = 1_400;
// With one token or less, a token could move back and forth endlessly.
const _: () = assert!(HYSTERESIS_MILLI > TOKEN_MILLI);

/// The transfers of one runner's tokens that follow from the demand of all members.
///
/// Every member computes the plan from the last reports of all members and carries
/// out its own orders. A member's share is proportional to its demand, but at least
/// its floor if there are enough tokens for the floors of all. A token moves only if
/// the surplus of the giver over its share exceeds that of the taker by 1.4 tokens,
/// so it does not move back before each of the two shares has changed by 0.4 tokens.
/// A member without a share hands its tokens to any member below its share.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_slots::HandoverPlan;
/// use sapphirestile_slots::TokenDemand;
///
/// let member = |name| DaemonIdentity {
///     daemon: DaemonName::try_from(name).unwrap(),
///     incarnation: IncarnationNumber::new(1),
/// };
/// let (idle, busy) = (member("vm-1"), member("vm-2"));
/// let plan = HandoverPlan::new(&[
///     TokenDemand { member: &idle, tokens: 4, weight: 1_000, floor: 1 },
///     TokenDemand { member: &busy, tokens: 4, weight: 7_000, floor: 1 },
/// ]);
/// let order = plan.orders()[0];
/// assert_eq!((order.from, order.to, order.count), (&idle, &busy, 2));
/// ```
#[derive(Clone, Debug)]
pub struct HandoverPlan<'a> {
    orders: Vec<HandoverOrder<'a>>,
}

impl<'a> HandoverPlan<'a> {
    /// Computes the transfers for `demands`, with one entry for each member.
    #[must_use]
    pub fn new(demands: &[TokenDemand<'a>]) -> Self {
        let mut surpluses = surpluses_of(demands);
        let mut tokens = demands
            .iter()
            .map(|demand| demand.tokens)
            .collect::<Vec<_>>();
        let mut orders = Vec::new();
        while let Some((giver, taker)) = next_pair(demands, &surpluses, &tokens) {
            surpluses[giver] -= TOKEN_MILLI;
            surpluses[taker] += TOKEN_MILLI;
            tokens[giver] -= 1;
            tokens[taker] += 1;
            add_order(&mut orders, demands[giver].member, demands[taker].member);
        }
        Self { orders }
    }

    /// The orders of all members.
    #[must_use]
    pub fn orders(&self) -> &[HandoverOrder<'a>] {
        &self.orders
    }

    /// The orders that `member` has to carry out.
    pub fn orders_of(&self, member: &DaemonIdentity) -> impl Iterator<Item = &HandoverOrder<'a>> {
        self.orders.iter().filter(move |order| order.from == member)
    }
}

/// The tokens of each member minus its share, in thousandths of a token.
fn surpluses_of(demands: &[TokenDemand<'_>]) -> Vec<i64> {
    let sum = |number: fn(&TokenDemand<'_>) -> u32| -> u64 {
        demands.iter().map(|demand| u64::from(number(demand))).sum()
    };
    let (tokens, floors) = (sum(|demand| demand.tokens), sum(|demand| demand.floor));
    let weights = sum(|demand| demand.weight);
    // The floors are ignored if there are too few tokens for the floors of all.
    let floor_milli = u64::from(tokens >= floors) * MILLI;
    let shared = tokens * MILLI - floor_milli * floors;
    let share = |demand: &TokenDemand<'_>| {
        let part = mul_div(shared, u64::from(demand.weight), weights);
        floor_milli * u64::from(demand.floor) + part
    };
    demands
        .iter()
        .map(|demand| signed(u64::from(demand.tokens) * MILLI) - signed(share(demand)))
        .collect()
}

/// The indices of the giver and the taker of the next token to move.
///
/// Members without a share give first. A taker that has a floor but no token gets one
/// from a difference of one token on, if the giver has more than one.
fn next_pair(
    demands: &[TokenDemand<'_>],
    surpluses: &[i64],
    tokens: &[u32],
) -> Option<(usize, usize)> {
    let indices = 0..surpluses.len();
    let taker = indices.clone().min_by_key(|index| surpluses[*index])?;
    let has_no_share = |index: &usize| demands[*index].has_no_share() && tokens[*index] > 0;
    if surpluses[taker] < 0
        && let Some(giver) = indices.clone().find(has_no_share)
    {
        return Some((giver, taker));
    }
    let giver = indices.rev().max_by_key(|index| surpluses[*index])?;
    let gap = surpluses[giver] - surpluses[taker];
    let has_floor = demands[taker].floor > 0;
    let starved = has_floor && tokens[taker] == 0 && tokens[giver] > 1 && gap >= TOKEN_MILLI;
    (gap >= HYSTERESIS_MILLI || starved).then_some((giver, taker))
}

fn add_order<'a>(
    orders: &mut Vec<HandoverOrder<'a>>,
    from: &'a DaemonIdentity,
    to: &'a DaemonIdentity,
) {
    let known = orders
        .iter_mut()
        .find(|order| order.from == from && order.to == to);
    match known {
        Some(order) => order.count += 1,
        None => orders.push(HandoverOrder { from, to, count: 1 }),
    }
}
