//! Which member gives tokens of a runner to which.

use crate::HandoverOrder;
use crate::TokenDemand;
use crate::handover_counters::signed;
use crate::scaled_part::scaled_part;
use sapphirestile_core::DaemonIdentity;

const MILLI: u64 = 1_000;
const TOKEN_MILLI: i64 = 1_000;
const HYSTERESIS_MILLI: i64 = 1_400;
// Up to one token, a token could move back and forth without an end.
const _: () = assert!(HYSTERESIS_MILLI > TOKEN_MILLI);

/// The hand-overs of one runner that the demand of all members calls for.
///
/// Every member makes the plan from what all last reported and carries out its own
/// orders. A member's share follows its demand but is at least its floor where there
/// are enough tokens for the floors of all. A token moves only when the giver is 1.4
/// tokens further above its share than the taker, so it does not move back before
/// each of the two shares has changed by 0.4 tokens. A member without any share
/// gives its tokens to whoever is below.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::DaemonName;
/// use sapphirestile_core::IncarnationNumber;
/// use sapphirestile_core::DaemonIdentity;
/// use sapphirestile_slots::HandoverPlan;
/// use sapphirestile_slots::TokenDemand;
///
/// let member = |name| DaemonIdentity {
///     daemon: DaemonName::try_from(name).unwrap(),
///     incarnation: IncarnationNumber::new(1),
/// };
/// let (calm, busy) = (member("vm-1"), member("vm-2"));
/// let plan = HandoverPlan::new(&[
///     TokenDemand { member: &calm, tokens: 4, weight: 1_000, floor: 1 },
///     TokenDemand { member: &busy, tokens: 4, weight: 7_000, floor: 1 },
/// ]);
/// let order = plan.orders()[0];
/// assert_eq!((order.from, order.to, order.count), (&calm, &busy, 2));
/// ```
#[derive(Clone, Debug)]
pub struct HandoverPlan<'a> {
    orders: Vec<HandoverOrder<'a>>,
}

impl<'a> HandoverPlan<'a> {
    /// Plans the hand-overs among `demands`, one a member.
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

    /// All orders.
    #[must_use]
    pub fn orders(&self) -> &[HandoverOrder<'a>] {
        &self.orders
    }

    /// The orders that `member` carries out.
    pub fn orders_of(&self, member: &DaemonIdentity) -> impl Iterator<Item = &HandoverOrder<'a>> {
        self.orders.iter().filter(move |order| order.from == member)
    }
}

/// The tokens of each member above its share, in thousandths of a token.
fn surpluses_of(demands: &[TokenDemand<'_>]) -> Vec<i64> {
    let sum = |number: fn(&TokenDemand<'_>) -> u32| -> u64 {
        demands.iter().map(|demand| u64::from(number(demand))).sum()
    };
    let (tokens, floors) = (sum(|demand| demand.tokens), sum(|demand| demand.floor));
    let weights = sum(|demand| demand.weight);
    let floored = u64::from(tokens >= floors) * MILLI;
    let shared = tokens * MILLI - floored * floors;
    let share = |demand: &TokenDemand<'_>| {
        let part = scaled_part(shared, u64::from(demand.weight), weights);
        floored * u64::from(demand.floor) + part
    };
    demands
        .iter()
        .map(|demand| signed(u64::from(demand.tokens) * MILLI) - signed(share(demand)))
        .collect()
}

/// The giver and the taker of the next token that is to move.
fn next_pair(
    demands: &[TokenDemand<'_>],
    surpluses: &[i64],
    tokens: &[u32],
) -> Option<(usize, usize)> {
    let places = 0..surpluses.len();
    let taker = places.clone().min_by_key(|place| surpluses[*place])?;
    let shareless = |place: &usize| demands[*place].is_shareless() && tokens[*place] > 0;
    if surpluses[taker] < 0
        && let Some(giver) = places.clone().find(shareless)
    {
        return Some((giver, taker));
    }
    let giver = places.rev().max_by_key(|place| surpluses[*place])?;
    let gap = surpluses[giver] - surpluses[taker];
    let floored = demands[taker].floor > 0;
    let starved = floored && tokens[taker] == 0 && tokens[giver] > 1 && gap >= TOKEN_MILLI;
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
