//! The name of a batch job, chosen by its submitter.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a batch job, chosen by its submitter.
    JobName
}
