//! Storing and restoring learnt estimates.

use crate::owner::JobOwner;
use crate::owner::LearntCoefficient;
use crate::owner::LearntTables;
use crate::pacing::ImageNumber;
use crate::pacing::PairEstimate;
use sapphirestile_core::MonoTime;
use sapphirestile_core::SortedTable;

/// Interval for storing learnt estimates, in milliseconds.
const STORE_INTERVAL_MS: u64 = 3_000;

impl JobOwner {
    /// Restores what an earlier owner has learnt.
    pub fn restore_learnt(&mut self, learnt: &LearntTables) {
        self.durations.restore(&learnt.durations_ms);
        let images = &mut self.images;
        for learnt in &learnt.coefficients {
            let pair = (
                images.number(&learnt.best_effort),
                images.number(&learnt.serving),
            );
            let estimate = PairEstimate {
                load: learnt.load,
                measurements: learnt.measurements,
            };
            self.interference.restore_estimate(pair, estimate);
        }
        for (image, lowest_ms) in &learnt.lowest_ms {
            let image = images.number(image);
            self.interference.restore_lowest(image, *lowest_ms);
        }
    }

    /// Combines what this owner has learnt about interference with what owners of other cells
    /// have, weighted by their numbers of measurements.
    pub fn merge_learnt(&mut self, others: &[LearntTables]) {
        let images = &mut self.images;
        let mut sums: SortedTable<(ImageNumber, ImageNumber), (f64, u32)> = SortedTable::new();
        for learnt in others.iter().flat_map(|other| &other.coefficients) {
            let pair = (
                images.number(&learnt.best_effort),
                images.number(&learnt.serving),
            );
            let (load, measurements) = sums.get_or_insert_with(pair, || (0.0, 0));
            *load += learnt.load * f64::from(learnt.measurements);
            *measurements = measurements.saturating_add(learnt.measurements);
        }
        for (pair, (load, measurements)) in sums.iter() {
            self.interference
                .merge_estimate(*pair, *load, *measurements);
        }
        for (image, lowest_ms) in others.iter().flat_map(|other| &other.lowest_ms) {
            let image = self.images.number(image);
            self.interference.merge_lowest(image, *lowest_ms);
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
        let estimates = self.interference.estimates();
        let lowest = self.interference.lowest_latencies();
        LearntTables {
            durations_ms: self.durations.means().collect(),
            coefficients: estimates
                .filter_map(|((best_effort, serving), estimate)| {
                    Some(LearntCoefficient {
                        best_effort: name(best_effort)?,
                        serving: name(serving)?,
                        load: estimate.load,
                        measurements: estimate.measurements,
                    })
                })
                .collect(),
            lowest_ms: lowest
                .filter_map(|(image, lowest_ms)| Some((name(image)?, lowest_ms)))
                .collect(),
        }
    }
}
