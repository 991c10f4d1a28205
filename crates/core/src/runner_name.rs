//! The name of a runner of a service.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a runner of a service.
    RunnerName
}
