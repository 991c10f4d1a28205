//! The name of a customer, a team with a resource quota.

use crate::checked_name::checked_name;

checked_name! {
    /// The name of a customer, a team with a resource quota.
    CustomerName
}
