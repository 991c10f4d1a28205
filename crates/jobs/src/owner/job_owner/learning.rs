//! Storing and restoring learnt estimates.

use crate::owner::JobOwner;
use crate::owner::LearntTables;
use sapphirestile_core::MonoTime;

/// Interval for storing learnt estimates, in milliseconds.
const STORE_INTERVAL_MS: u64 = 3_000;

impl JobOwner {
    /// Restores what an earlier owner has learnt.
    pub fn restore_learnt(&mut self, learnt: &LearntTables) {
        self.durations.restore(&learnt.durations_ms);
        let images = &mut self.images;
        for (best_effort, serving, coefficient) in &learnt.coefficients {
            let pair = (images.number(best_effort), images.number(serving));
            self.interference.restore_coefficient(pair, *coefficient);
        }
        for (image, lowest_ms) in &learnt.lowest_ms {
            let image = images.number(image);
            self.interference.restore_lowest(image, *lowest_ms);
        }
    }

    /// Learnt estimates, if they are due to be stored.
    pub(super) fn learnt_if_due(&mut self, now: MonoTime) -> Option<LearntTables> {
        if now.millis_since(self.learnt_batched) < STORE_INTERVAL_MS {
            return None;
        }
        self.learnt_batched = now;
        Some(self.learnt())
    }

    fn learnt(&self) -> LearntTables {
        let name = |image| self.images.name(image).map(Box::from);
        let coefficients = self.interference.coefficients();
        let lowest = self.interference.lowest_latencies();
        LearntTables {
            durations_ms: self.durations.means().collect(),
            coefficients: coefficients
                .filter_map(|((best_effort, serving), coefficient)| {
                    Some((name(best_effort)?, name(serving)?, coefficient))
                })
                .collect(),
            lowest_ms: lowest
                .filter_map(|(image, lowest_ms)| Some((name(image)?, lowest_ms)))
                .collect(),
        }
    }
}
