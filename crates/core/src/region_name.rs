//! The name of a region, a group of zones.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a region, a group of zones.
    RegionName
}
