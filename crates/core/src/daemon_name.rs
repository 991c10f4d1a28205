//! The name of a daemon, which is also the name of its VM.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a daemon, which is also the name of its VM.
    DaemonName
}
