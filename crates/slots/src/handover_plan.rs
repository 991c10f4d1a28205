//! Which member gives tokens of a runner to which.

use crate::HandoverOrder;
use crate::TokenDemand;
use sapphirestile_core::DaemonIdentity;

const MILLI: i64 = 1_000;
const HYSTERESIS_MILLI: i64 = 750;
// Below half a token, a token could move back and forth without an end.
const _: () = assert!(2 * HYSTERESIS_MILLI > MILLI);

/// The hand-overs of one runner that the demand of all members calls for.
///
/// Every member makes the plan from what all last reported and carries out its
/// own orders. A member's share follows its demand but is at least one token
/// where there are as many tokens as members. A token moves only from a member
/// three quarters of a token above its share to one as far below, so a token
/// that moved does not move back before the shares have changed by half a token.
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
///     TokenDemand { member: &calm, tokens: 4, weight: 1_000 },
///     TokenDemand { member: &busy, tokens: 4, weight: 7_000 },
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
        while let Some((giver, taker)) = next_pair(&surpluses, &tokens) {
            surpluses[giver] -= MILLI;
            surpluses[taker] += MILLI;
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
    let members = i64::try_from(demands.len()).expect("too many members");
    let sum = |number: fn(&TokenDemand<'_>) -> u32| -> i64 {
        demands.iter().map(|demand| i64::from(number(demand))).sum()
    };
    let tokens = sum(|demand| demand.tokens);
    let weights = sum(|demand| demand.weight).max(1);
    let floor = if tokens >= members { MILLI } else { 0 };
    let shared = tokens * MILLI - floor * members;
    let share = |demand: &TokenDemand<'_>| floor + shared * i64::from(demand.weight) / weights;
    demands
        .iter()
        .map(|demand| i64::from(demand.tokens) * MILLI - share(demand))
        .collect()
}

/// The member furthest above its share and the one furthest below, when a token
/// is to move between them.
fn next_pair(surpluses: &[i64], tokens: &[u32]) -> Option<(usize, usize)> {
    let places = 0..surpluses.len();
    let giver = places.clone().rev().max_by_key(|place| surpluses[*place])?;
    let taker = places.min_by_key(|place| surpluses[*place])?;
    let gap = surpluses[giver] - surpluses[taker];
    let starved = tokens[taker] == 0 && tokens[giver] > 1 && gap >= MILLI;
    let apart = surpluses[giver] >= HYSTERESIS_MILLI && surpluses[taker] <= -HYSTERESIS_MILLI;
    (apart || starved).then_some((giver, taker))
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
