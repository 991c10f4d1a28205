//! The name of a region.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a region.
    RegionName
}
