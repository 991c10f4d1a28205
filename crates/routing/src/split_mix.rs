//! A pseudorandom number generator.

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The `SplitMix64` pseudorandom number generator.
#[derive(Clone, Copy, Debug)]
pub struct SplitMix {
    state: u64,
}

impl SplitMix {
    /// A generator seeded with `seed`.
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// The next number, at least zero and less than `bound`, which must not be zero.
    pub fn next_below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        let product = u128::from(mix(self.state)) * bound as u128;
        usize::try_from(product >> u64::BITS).unwrap_or(0)
    }
}

const fn mix(state: u64) -> u64 {
    let mut mixed = state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
