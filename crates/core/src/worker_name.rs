//! The name of a worker.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a worker.
    WorkerName
}
