//! Selection of the faults of a run.

use rand::Rng;
use rand::rngs::SmallRng;

use crate::FaultKind;

const SINGLE_KIND_PROBABILITY: f64 = 0.25;
const KIND_PROBABILITY: f64 = 0.5;

/// The kinds of faults that a run injects. With probability `SINGLE_KIND_PROBABILITY` it is a
/// single kind; otherwise each kind is included with `KIND_PROBABILITY`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultPlan {
    kinds: Vec<FaultKind>,
}

impl FaultPlan {
    /// Selects the kinds at random.
    pub fn draw(rng: &mut SmallRng) -> Self {
        if rng.random_bool(SINGLE_KIND_PROBABILITY) {
            let index = rng.random_range(0..FaultKind::ALL.len());
            return Self {
                kinds: vec![FaultKind::ALL[index]],
            };
        }
        let drawn = |_: &FaultKind| rng.random_bool(KIND_PROBABILITY);
        let kinds = FaultKind::ALL.into_iter().filter(drawn).collect();
        Self { kinds }
    }

    /// Whether `kind` was selected; false for every kind after [`Self::clear`].
    #[must_use]
    pub fn includes(&self, kind: FaultKind) -> bool {
        self.kinds.binary_search(&kind).is_ok()
    }

    /// The selected kinds in ascending order; empty after [`Self::clear`].
    #[must_use]
    pub fn kinds(&self) -> &[FaultKind] {
        &self.kinds
    }

    /// Removes all kinds, so that no further fault is injected.
    pub fn clear(&mut self) {
        self.kinds.clear();
    }
}
