//! Members and runners of one service in several regions.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use sapphirestile_core::DaemonIdentity;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::RegionName;
use sapphirestile_core::RunnerName;
use sapphirestile_slots::HandoverPlan;
use sapphirestile_slots::MemberDemand;
use sapphirestile_slots::RunnerSupply;
use sapphirestile_slots::ServiceDemand;

const SLOTS: u32 = 8;
const TWELVE: [&str; 12] = [
    "coast", "coast", "coast", "coast", "coast", "coast", "inland", "inland", "inland", "inland",
    "inland", "inland",
];
/// The noise that a meter of demand leaves, in thousandths of a request.
const NOISE: u32 = 300;

/// Every member carries out the same plan at once, round by round.
pub struct RegionWorld {
    members: Vec<(DaemonIdentity, RegionName)>,
    runners: Vec<(RunnerName, RegionName)>,
    weights: Vec<u32>,
    /// Tokens by runner and member.
    tokens: Vec<Vec<u32>>,
    draw: SmallRng,
}

impl RegionWorld {
    /// Members and runners in these regions; tokens are split evenly, with the
    /// larger parts moving from runner to runner.
    pub fn new(members: &[&str], runners: &[&str]) -> Self {
        let region = |name: &str| RegionName::try_from(name).unwrap();
        let member = |(place, name): (usize, &&str)| {
            let daemon = DaemonName::try_from(format!("vm-{place}")).unwrap();
            let incarnation = IncarnationNumber::new(1);
            (
                DaemonIdentity {
                    daemon,
                    incarnation,
                },
                region(name),
            )
        };
        let runner = |(place, name): (usize, &&str)| {
            let runner = RunnerName::try_from(format!("runner-{place}")).unwrap();
            (runner, region(name))
        };
        let count = u32::try_from(members.len()).unwrap();
        let split = |place: u32| {
            let larger = SLOTS % count;
            let part = |member| SLOTS / count + u32::from((member + place) % count < larger);
            (0..count).map(part).collect()
        };
        Self {
            weights: vec![50; members.len()],
            members: members.iter().enumerate().map(member).collect(),
            runners: runners.iter().enumerate().map(runner).collect(),
            tokens: (0..runners.len())
                .map(|place| split(u32::try_from(place).unwrap()))
                .collect(),
            draw: SmallRng::seed_from_u64(0),
        }
    }

    /// Twelve runners, half of them inland.
    pub fn twelve(members: &[&str]) -> Self {
        Self::new(members, &TWELVE)
    }

    /// A world drawn from a seed.
    pub fn random(seed: u64) -> Self {
        let mut draw = SmallRng::seed_from_u64(seed);
        let regions = ["coast", "inland", "north"];
        let mut places = |least: usize, most: usize| {
            let count = draw.random_range(least..=most);
            let drawn = (0..count).map(|_| regions[draw.random_range(0..regions.len())]);
            drawn.collect::<Vec<_>>()
        };
        let (members, runners) = (places(2, 7), places(3, 24));
        Self {
            draw,
            ..Self::new(&members, &runners)
        }
    }

    /// Sets the demand of each member.
    pub fn set_weights(&mut self, weights: &[u32]) {
        self.weights = weights.to_vec();
    }

    /// Draws the demand of each member: idle, busy, or far above its slots.
    pub fn draw_weights(&mut self) {
        let draw = &mut self.draw;
        self.weights.fill_with(|| match draw.random_range(0..3) {
            0 => 50,
            1 => draw.random_range(1_000..30_000),
            _ => draw.random_range(30_000..300_000),
        });
    }

    /// The orders of all members.
    pub fn orders(&self) -> Vec<String> {
        let moves = self.moves(&self.weights);
        let text = |(runner, from, to): &(usize, usize, usize)| {
            format!("runner-{runner}: vm-{from} gives 1 to vm-{to}")
        };
        moves.iter().map(text).collect()
    }

    /// Carries out the orders of all members, and returns them.
    pub fn step(&mut self) -> Vec<String> {
        let orders = self.orders();
        self.carry_out(&self.moves(&self.weights));
        orders
    }

    /// Steps until nothing moves.
    pub fn step_until_rest(&mut self, rounds_max: usize) {
        let rests = (0..rounds_max).any(|_| self.step().is_empty());
        assert!(rests, "tokens do not come to rest: {:?}", self.weights);
    }

    /// Every second member sees the regions of the runners the other way round, and
    /// each carries out its own orders.
    pub fn step_divided(&mut self) {
        let own = |seen: usize| move |(_, from, _): &(usize, usize, usize)| from % 2 == seen;
        let mut moves = self.moves(&self.weights);
        moves.retain(own(0));
        self.swap_regions();
        let mut others = self.moves(&self.weights);
        others.retain(own(1));
        self.swap_regions();
        moves.extend(others);
        self.carry_out(&moves);
    }

    fn swap_regions(&mut self) {
        let (first, last) = (self.runners[0].1.clone(), self.runners[11].1.clone());
        for (_, region) in &mut self.runners {
            *region = if *region == first {
                last.clone()
            } else {
                first.clone()
            };
        }
    }

    /// How many tokens move while every demand varies a little.
    pub fn step_with_noise(&mut self, rounds: usize) -> usize {
        let mut count = 0;
        for _ in 0..rounds {
            let draw = &mut self.draw;
            let noisy = self
                .weights
                .iter()
                .map(|weight| weight + draw.random_range(0..NOISE));
            let noisy: Vec<u32> = noisy.collect();
            let moves = self.moves(&noisy);
            count += moves.len();
            self.carry_out(&moves);
        }
        count
    }

    /// Tokens of each member.
    pub fn held(&self) -> Vec<u32> {
        let of = |member: usize| self.tokens.iter().map(|row| row[member]).sum();
        (0..self.members.len()).map(of).collect()
    }

    /// Tokens that members of one region have at runners of another.
    pub fn held_by_region(&self, members: &str, runners: &str) -> u32 {
        let mut held = 0;
        for (row, (_, place)) in self.tokens.iter().zip(&self.runners) {
            for (tokens, (_, region)) in row.iter().zip(&self.members) {
                let counts = place.as_str() == runners && region.as_str() == members;
                held += if counts { *tokens } else { 0 };
            }
        }
        held
    }

    /// All tokens.
    pub fn all(&self) -> u32 {
        self.held().iter().sum()
    }

    /// How many runners there are.
    pub fn runners(&self) -> usize {
        self.runners.len()
    }

    /// One entry of runner, giver and taker for each token that moves.
    fn moves(&self, weights: &[u32]) -> Vec<(usize, usize, usize)> {
        let supplies = self.supplies();
        let members = self.members.iter().zip(weights);
        let members = members.map(|((member, region), weight)| MemberDemand {
            member,
            region: Some(region),
            weight: *weight,
        });
        let demand = ServiceDemand::new(members.collect(), &supplies);
        let place = |member: &DaemonIdentity| {
            let place = self.members.iter().position(|(known, _)| known == member);
            place.unwrap()
        };
        let mut moves = Vec::new();
        for (runner, supply) in supplies.iter().enumerate() {
            let plan = HandoverPlan::new(&demand.at(supply, |member| self.tokens[runner][member]));
            for order in plan.orders() {
                let entry = (runner, place(order.from), place(order.to));
                moves.extend(std::iter::repeat_n(entry, order.count as usize));
            }
        }
        moves
    }

    fn supplies(&self) -> Vec<RunnerSupply<'_>> {
        let rows = self.runners.iter().zip(&self.tokens);
        rows.map(|((runner, region), tokens)| RunnerSupply {
            runner,
            region: Some(region),
            tokens: tokens.iter().sum(),
        })
        .collect()
    }

    fn carry_out(&mut self, moves: &[(usize, usize, usize)]) {
        for (runner, from, to) in moves {
            self.tokens[*runner][*from] -= 1;
            self.tokens[*runner][*to] += 1;
        }
    }
}
