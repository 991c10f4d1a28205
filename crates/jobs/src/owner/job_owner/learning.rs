//! Hands on what was learnt.

use crate::owner::JobOwner;
use crate::owner::LearntTables;
use sapphirestile_core::MonoTime;

/// How often what was learnt is stored, in milliseconds.
const STORE_INTERVAL_MS: u64 = 3_000;

impl JobOwner {
    /// Begins with what an earlier owner has learnt.
    pub fn recall(&mut self, learnt: &LearntTables) {
        self.durations.recall(&learnt.durations_ms);
        let images = &mut self.images;
        for (filling, serving, part) in &learnt.parts {
            let pair = (images.number(filling), images.number(serving));
            self.disturbance.recall_part(pair, *part);
        }
        for (image, lowest_ms) in &learnt.lowest_ms {
            let image = images.number(image);
            self.disturbance.recall_lowest(image, *lowest_ms);
        }
    }

    /// What was learnt, when it is due to be stored.
    pub(super) fn learnt_if_due(&mut self, now: MonoTime) -> Option<LearntTables> {
        if now.millis_since(self.learnt_sent) < STORE_INTERVAL_MS {
            return None;
        }
        self.learnt_sent = now;
        Some(self.learnt())
    }

    fn learnt(&self) -> LearntTables {
        let name = |image| self.images.name(image).map(Box::from);
        let parts = self.disturbance.parts();
        let lowest = self.disturbance.lowest_latencies();
        LearntTables {
            durations_ms: self.durations.means().collect(),
            parts: parts
                .filter_map(|((filling, serving), part)| {
                    Some((name(filling)?, name(serving)?, part))
                })
                .collect(),
            lowest_ms: lowest
                .filter_map(|(image, lowest_ms)| Some((name(image)?, lowest_ms)))
                .collect(),
        }
    }
}
