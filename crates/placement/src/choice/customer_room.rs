//! What a customer may run and runs.

use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// A customer's quota and what its running tasks take of it.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::CustomerRoom;
///
/// let room = CustomerRoom {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: ResourceSize { cpu_milli: 4_000, memory_mb: 1_024, accelerators: 0 },
///     given: ResourceSize { cpu_milli: 1_000, memory_mb: 512, accelerators: 0 },
///     priority: 100,
/// };
/// assert_eq!(room.left().memory_mb, 512);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRoom {
    /// The customer.
    pub name: CustomerName,
    /// The most that its running batch tasks may take together.
    pub quota: ResourceSize,
    /// What its running batch tasks take.
    pub given: ResourceSize,
    /// Its weight when room is short; larger goes first.
    pub priority: u32,
}

impl CustomerRoom {
    /// What the customer may still take.
    #[must_use]
    pub const fn left(&self) -> ResourceSize {
        self.quota.minus(&self.given)
    }
}
