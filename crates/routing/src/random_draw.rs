//! Numbers drawn from one random number.

const STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A sequence of numbers that one random number begins (splitmix64).
#[derive(Clone, Copy, Debug)]
pub struct RandomDraw {
    state: u64,
}

impl RandomDraw {
    /// The sequence that `random` begins.
    pub const fn new(random: u64) -> Self {
        Self { state: random }
    }

    /// The next number, below `bound`, which is not zero.
    pub fn below(&mut self, bound: usize) -> usize {
        self.state = self.state.wrapping_add(STEP);
        let wide = u128::from(mix(self.state)) * bound as u128;
        usize::try_from(wide >> u64::BITS).unwrap_or(0)
    }
}

const fn mix(state: u64) -> u64 {
    let mut mixed = state;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
