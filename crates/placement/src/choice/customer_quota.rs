//! The quota of a customer.

use sapphirestile_core::CustomerName;
use sapphirestile_core::ResourceSize;

/// A customer's quota and the resources allocated to its running tasks.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::CustomerName;
/// use sapphirestile_core::ResourceSize;
/// use sapphirestile_placement::CustomerQuota;
///
/// let customer = CustomerQuota {
///     name: CustomerName::try_from("tailors").unwrap(),
///     quota: ResourceSize { cpu_milli: 4_000, memory_mb: 1_024, accelerators: 0 },
///     allocated: ResourceSize { cpu_milli: 1_000, memory_mb: 512, accelerators: 0 },
///     priority: 100,
/// };
/// assert_eq!(customer.remaining().memory_mb, 512);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerQuota {
    /// The customer's name; tables of quotas are sorted by it.
    pub name: CustomerName,
    /// The maximum total size of its running batch tasks.
    pub quota: ResourceSize,
    /// The total size of its running batch tasks.
    pub allocated: ResourceSize,
    /// Its weight when capacity is short: the customer with the smallest share divided by
    /// its weight is served next, so a larger weight gets more.
    pub priority: u32,
}

impl CustomerQuota {
    /// The part of the quota that is not allocated.
    #[must_use]
    pub const fn remaining(&self) -> ResourceSize {
        self.quota.minus(&self.allocated)
    }
}
