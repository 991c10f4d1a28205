//! The name of a rack.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a rack.
    RackName
}
