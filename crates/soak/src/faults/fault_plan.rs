//! Which faults a run injects.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::FaultKind;

const ALONE_PROBABILITY: f64 = 0.25;
const TOGETHER_PROBABILITY: f64 = 0.5;

/// Which faults a run injects: one kind alone, or each by a coin's toss.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    kinds: Vec<FaultKind>,
}

impl FaultPlan {
    /// Draws a plan.
    pub fn draw(rng: &mut SmallRng) -> Self {
        if rng.random_bool(ALONE_PROBABILITY) {
            let place = rng.random_range(0..FaultKind::ALL.len());
            return Self {
                kinds: vec![FaultKind::ALL[place]],
            };
        }
        let drawn = |_: &FaultKind| rng.random_bool(TOGETHER_PROBABILITY);
        let kinds = FaultKind::ALL.into_iter().filter(drawn).collect();
        Self { kinds }
    }

    /// Whether the run injects `kind`.
    #[must_use]
    pub fn has(&self, kind: FaultKind) -> bool {
        self.kinds.binary_search(&kind).is_ok()
    }

    /// The kinds, in order.
    #[must_use]
    pub fn kinds(&self) -> &[FaultKind] {
        &self.kinds
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.kinds.clear();
    }
}
