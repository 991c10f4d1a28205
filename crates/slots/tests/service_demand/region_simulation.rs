//! Simulation of members and runners of one service in several regions.

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
const TWELVE_RUNNERS: [&str; 12] = [
    "coast", "coast", "coast", "coast", "coast", "coast", "inland", "inland", "inland", "inland",
    "inland", "inland",
];
/// The fluctuation of measured demand, in thousandths of a request.
const NOISE: u32 = 300;

/// In each round all members carry out the same plan at the same time.
pub struct RegionSimulation {
    members: Vec<(DaemonIdentity, RegionName)>,
    runners: Vec<(RunnerName, RegionName)>,
    weights: Vec<u32>,
    /// Tokens by runner and member.
    tokens: Vec<Vec<u32>>,
    random: SmallRng,
}

impl RegionSimulation {
    /// Creates members and runners in the given regions. Tokens are split evenly, with
    /// the larger parts going to other members from runner to runner.
    pub fn new(members: &[&str], runners: &[&str]) -> Self {
        let region = |name: &str| RegionName::try_from(name).unwrap();
        let member = |(index, name): (usize, &&str)| {
            let daemon = DaemonName::try_from(format!("vm-{index}")).unwrap();
            let incarnation = IncarnationNumber::new(1);
            (
                DaemonIdentity {
                    daemon,
                    incarnation,
                },
                region(name),
            )
        };
        let runner = |(index, name): (usize, &&str)| {
            let runner = RunnerName::try_from(format!("runner-{index}")).unwrap();
            (runner, region(name))
        };
        let count = u32::try_from(members.len()).unwrap();
        let split = |index: u32| {
            let larger = SLOTS % count;
            let part = |member| SLOTS / count + u32::from((member + index) % count < larger);
            (0..count).map(part).collect()
        };
        Self {
            weights: vec![50; members.len()],
            members: members.iter().enumerate().map(member).collect(),
            runners: runners.iter().enumerate().map(runner).collect(),
            tokens: (0..runners.len())
                .map(|index| split(u32::try_from(index).unwrap()))
                .collect(),
            random: SmallRng::seed_from_u64(0),
        }
    }

    /// Creates twelve runners, half of them inland.
    pub fn with_twelve_runners(members: &[&str]) -> Self {
        Self::new(members, &TWELVE_RUNNERS)
    }

    /// Creates a random set of members and runners.
    pub fn random(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let regions = ["coast", "inland", "north"];
        let mut draw_regions = |least: usize, most: usize| {
            let count = random.random_range(least..=most);
            let drawn = (0..count).map(|_| regions[random.random_range(0..regions.len())]);
            drawn.collect::<Vec<_>>()
        };
        let (members, runners) = (draw_regions(2, 7), draw_regions(3, 24));
        Self {
            random,
            ..Self::new(&members, &runners)
        }
    }

    /// Sets the demand of each member.
    pub fn set_weights(&mut self, weights: &[u32]) {
        self.weights = weights.to_vec();
    }

    /// Draws the demand of each member: idle, busy, or far above the supply.
    pub fn draw_weights(&mut self) {
        let random = &mut self.random;
        self.weights.fill_with(|| match random.random_range(0..3) {
            0 => 50,
            1 => random.random_range(1_000..30_000),
            _ => random.random_range(30_000..300_000),
        });
    }

    /// The orders of all members, as text.
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

    /// Runs rounds until no token moves, at most `rounds_max`.
    pub fn step_until_stable(&mut self, rounds_max: usize) {
        let is_stable = (0..rounds_max).any(|_| self.step().is_empty());
        assert!(
            is_stable,
            "tokens still move after {rounds_max} rounds: {:?}",
            self.weights
        );
    }

    /// Runs a round in which every second member sees the regions of the runners
    /// swapped, and each carries out its own orders.
    pub fn step_with_divided_view(&mut self) {
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

    /// The number of tokens that move in `rounds` rounds of slightly varying demand.
    pub fn step_with_noise(&mut self, rounds: usize) -> usize {
        let mut count = 0;
        for _ in 0..rounds {
            let random = &mut self.random;
            let noisy = self
                .weights
                .iter()
                .map(|weight| weight + random.random_range(0..NOISE));
            let noisy: Vec<u32> = noisy.collect();
            let moves = self.moves(&noisy);
            count += moves.len();
            self.carry_out(&moves);
        }
        count
    }

    /// The number of tokens of each member.
    pub fn held(&self) -> Vec<u32> {
        let of = |member: usize| self.tokens.iter().map(|row| row[member]).sum();
        (0..self.members.len()).map(of).collect()
    }

    /// The number of tokens that members of one region hold of runners of another.
    pub fn held_by_region(&self, members: &str, runners: &str) -> u32 {
        let mut held = 0;
        for (row, (_, runner_region)) in self.tokens.iter().zip(&self.runners) {
            for (tokens, (_, region)) in row.iter().zip(&self.members) {
                let counts = runner_region.as_str() == runners && region.as_str() == members;
                held += if counts { *tokens } else { 0 };
            }
        }
        held
    }

    /// The number of tokens of all members.
    pub fn total_tokens(&self) -> u32 {
        self.held().iter().sum()
    }

    /// The number of runners.
    pub fn runners(&self) -> usize {
        self.runners.len()
    }

    /// The moves of single tokens as runner, giver and taker.
    fn moves(&self, weights: &[u32]) -> Vec<(usize, usize, usize)> {
        let supplies = self.supplies();
        let members = self.members.iter().zip(weights);
        let members = members.map(|((member, region), weight)| MemberDemand {
            member,
            region: Some(region),
            weight: *weight,
        });
        let demand = ServiceDemand::new(members.collect(), &supplies);
        let index = |member: &DaemonIdentity| {
            let index = self.members.iter().position(|(known, _)| known == member);
            index.unwrap()
        };
        let mut moves = Vec::new();
        for (runner, supply) in supplies.iter().enumerate() {
            let plan =
                HandoverPlan::new(&demand.demands_at(supply, |member| self.tokens[runner][member]));
            for order in plan.orders() {
                let entry = (runner, index(order.from), index(order.to));
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
