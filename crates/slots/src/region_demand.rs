//! Demand and supply of one region for a service.

use crate::mul_div::mul_div;

const MILLI: u64 = 1_000;

/// The demand of a region's members, and how much of it the region's own runners can
/// serve, in thousandths of a token.
#[derive(Clone, Debug, Default)]
pub struct RegionDemand {
    /// The indices of the region's members, in ascending order.
    member_indices: Vec<usize>,
    /// The sum of the members' weights.
    weight: u64,
    /// The tokens of the region's runners that its members can have.
    supply: u64,
    /// The part of `supply` that exceeds one token for each member and runner.
    shared: u64,
}

impl RegionDemand {
    /// Adds a member.
    pub fn add_member(&mut self, index: usize, weight: u32) {
        self.member_indices.push(index);
        self.weight += u64::from(weight);
    }

    /// Adds a runner, of which `reserved` tokens are left to other regions. All members
    /// must have been added before.
    pub fn add_supply(&mut self, tokens: u32, reserved: u32) {
        let own_tokens = u64::from(tokens.saturating_sub(reserved));
        self.supply += own_tokens * MILLI;
        self.shared += own_tokens.saturating_sub(self.member_indices.len() as u64) * MILLI;
    }

    /// The sum of the members' weights, in thousandths.
    pub const fn weight(&self) -> u64 {
        self.weight
    }

    /// The tokens of the region's runners that its members can have, in thousandths.
    pub const fn supply(&self) -> u64 {
        self.supply
    }

    /// The part of the supply above one token for each member and runner, in
    /// thousandths.
    pub const fn shared(&self) -> u64 {
        self.shared
    }

    /// The index of the member that represents the region at a runner of another
    /// region, selected by the hash of the runner's name.
    pub fn delegate(&self, hash: u64) -> usize {
        let members = self.member_indices.len() as u64;
        let index =
            usize::try_from(hash % members).expect("remainder is less than the number of members");
        self.member_indices[index]
    }

    /// The part of a member with `weight` in `kept`, the tokens that the members keep
    /// of their own runners. Tokens beyond the demand are divided evenly, so that small
    /// changes in demand move no tokens.
    pub fn local_part(&self, weight: u32, kept: u64) -> u32 {
        let Some(spare) = kept.checked_sub(self.weight) else {
            return self.part(weight, kept);
        };
        let even = spare / self.member_indices.len() as u64;
        weight.saturating_add(u32::try_from(even).unwrap_or(u32::MAX))
    }

    /// The part of a member with `weight` that represents its region at a share of
    /// another region's runners. The region requests `requested` of them in all. Each
    /// member represents it at a part of the runners, so at its own part a member stands
    /// for all members.
    pub fn remote_part(&self, weight: u32, requested: u64) -> u32 {
        self.part(weight, requested * self.member_indices.len() as u64)
    }

    /// The part of `whole` proportional to `weight`, at least 1.
    fn part(&self, weight: u32, whole: u64) -> u32 {
        let part = mul_div(whole, u64::from(weight), self.weight);
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }
}
