//! The name of an availability zone.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of an availability zone, which belongs to one region.
    ZoneName
}
