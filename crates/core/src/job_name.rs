//! The name of a batch job, chosen by the operator who submits it.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a batch job, chosen by the operator who submits it.
    JobName
}
