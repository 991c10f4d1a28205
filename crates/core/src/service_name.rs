//! The name of a latency-critical service.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a latency-critical service.
    ServiceName
}
