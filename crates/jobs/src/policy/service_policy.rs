//! Configuration of a service.

/// Configuration of a service whose workers run tasks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Name of the service, unique in the configuration.
    pub name: Box<str>,
    /// Whether workers of the service reject tasks that exceed their free capacity.
    pub enforces_capacity: bool,
}
