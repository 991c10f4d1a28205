//! The place of a task in its job.

use crate::counted_number::counted_number;

counted_number! {
    /// The place of a task in its job.
    TaskIndex(u32)
}
