//! The name of a rack, which holds workers.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a rack, which holds workers.
    RackName
}
