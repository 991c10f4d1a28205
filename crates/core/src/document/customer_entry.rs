//! What operators say of a customer.

use crate::ResourceSize;

/// One `[customer NAME]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CustomerEntry {
    /// The most that the customer's running batch tasks may take together.
    pub quota: ResourceSize,
    /// The customer's weight when room is short; larger goes first.
    pub priority: u32,
}
