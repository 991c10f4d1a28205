//! The name of a worker, which runs batch tasks.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a worker, which runs batch tasks.
    WorkerName
}
