//! The name of a batch job, chosen by the caller who submits it.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a batch job, chosen by the caller who submits it.
    JobName
}
