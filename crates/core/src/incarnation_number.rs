//! One life of a program.

use crate::counted_number::counted_number;

counted_number! {
    /// One life of a program; of a daemon, the store's revision of its registration.
    IncarnationNumber(u64)
}
