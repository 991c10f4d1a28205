//! The number of one run of a program.

use crate::sequence_number::sequence_number;

sequence_number! {
    /// The incarnation of a program, which is new after each restart. A daemon takes the
    /// store revision of its registration.
    IncarnationNumber(u64)
}
