//! How often a job runs, and when.

use serde::Deserialize;
use serde::Serialize;

/// When the occurrences of a repeated job are due, in milliseconds of the Unix
/// epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatRule {
    /// When the first occurrence is due.
    pub first_unix_ms: u64,
    /// The time between two occurrences, in milliseconds.
    pub interval_ms: u64,
    /// How many occurrences there are.
    pub occurrences: u32,
}

impl RepeatRule {
    /// When an occurrence is due, in milliseconds of the Unix epoch.
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
