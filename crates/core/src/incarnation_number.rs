//! One life of a daemon: the store's revision of its registration.

use crate::counted_number::counted_number;

counted_number! {
    /// One life of a daemon: the store's revision of its registration.
    IncarnationNumber(u64)
}
