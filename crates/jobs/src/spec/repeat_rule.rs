//! Schedule of a repeated job.

use serde::Deserialize;
use serde::Serialize;

/// Schedule of the occurrences of a repeated job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatRule {
    /// Due time of the first occurrence, in milliseconds of the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between the due times of two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// Total number of occurrences.
    pub occurrences: u32,
}

impl RepeatRule {
    /// Due time of an occurrence, in milliseconds of the Unix epoch. Occurrences are
    /// counted from 0.
    ///
    /// # Examples
    ///
    /// ```
    /// use sapphirestile_jobs::RepeatRule;
    ///
    /// let rule = RepeatRule { first_unix_ms: 5_000, interval_ms: 300, occurrences: 4 };
    /// assert_eq!(rule.due_unix_ms(2), 5_600);
    /// ```
    #[must_use]
    pub const fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let after = self.interval_ms.saturating_mul(occurrence as u64);
        self.first_unix_ms.saturating_add(after)
    }
}
