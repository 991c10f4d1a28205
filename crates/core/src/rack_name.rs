//! The name of a rack of workers.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a rack of workers.
    RackName
}
