//! What the members of one region want of a service.

use crate::scaled_part::scaled_part;

const MILLI: u64 = 1_000;

/// The demand of one region's members, and how much of it the region's own runners
/// can serve; thousandths of a token.
#[derive(Clone, Debug, Default)]
pub struct RegionDemand {
    /// The places of the members, in their order.
    places: Vec<usize>,
    /// The sum of the members' weights.
    weight: u64,
    /// Tokens of the region's runners that its members can have.
    supply: u64,
    /// Tokens of the region's runners above the floors of all.
    shared: u64,
}

impl RegionDemand {
    /// Counts a member in.
    pub fn add_member(&mut self, place: usize, weight: u32) {
        self.places.push(place);
        self.weight += u64::from(weight);
    }

    /// Counts a runner in of which `lent` tokens stay with other regions; the
    /// members are counted before.
    pub fn add_supply(&mut self, tokens: u32, lent: u32) {
        let lendable = u64::from(tokens.saturating_sub(lent));
        self.supply += lendable * MILLI;
        self.shared += lendable.saturating_sub(self.places.len() as u64) * MILLI;
    }

    /// The sum of the members' weights.
    pub const fn weight(&self) -> u64 {
        self.weight
    }

    /// Tokens of the region's runners that its members can have.
    pub const fn supply(&self) -> u64 {
        self.supply
    }

    /// Tokens of the region's runners above the floors of all.
    pub const fn shared(&self) -> u64 {
        self.shared
    }

    /// The member that stands for its region at a runner of another one.
    pub fn delegate(&self, hash: u64) -> usize {
        let members = self.places.len() as u64;
        let place = usize::try_from(hash % members).expect("as small as the members");
        self.places[place]
    }

    /// The part that a member with `weight` has of `kept`, what the members keep of
    /// the own runners. What they do not want is shared evenly, so that a few
    /// requests more or less move no tokens.
    pub fn near_part(&self, weight: u32, kept: u64) -> u32 {
        let Some(spare) = kept.checked_sub(self.weight) else {
            return self.part(weight, kept);
        };
        let even = spare / self.places.len() as u64;
        weight.saturating_add(u32::try_from(even).unwrap_or(u32::MAX))
    }

    /// As [`Self::part`], of one that stands for all members at its share of the
    /// runners of another region.
    pub fn far_part(&self, weight: u32, asked: u64) -> u32 {
        self.part(weight, asked * self.places.len() as u64)
    }

    /// The part of `whole` that a member with `weight` has; at least one.
    fn part(&self, weight: u32, whole: u64) -> u32 {
        let part = scaled_part(whole, u64::from(weight), self.weight);
        u32::try_from(part).unwrap_or(u32::MAX).max(1)
    }
}
