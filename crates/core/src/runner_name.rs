//! The name of a runner, which runs the requests of a service.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a runner, which runs the requests of a service.
    RunnerName
}
