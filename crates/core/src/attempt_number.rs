//! How often a task has been placed; each placement is a new attempt.

use crate::counted_number::counted_number;

counted_number! {
    /// How often a task has been placed; each placement is a new attempt.
    AttemptNumber(u32)
}
