//! The name of a daemon, equal to the name of its VM.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a daemon, equal to the name of its VM.
    DaemonName
}
