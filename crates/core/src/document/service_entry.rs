//! What operators say of a service.

/// One `[service NAME]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// How many requests one runner works on at a time.
    pub slots: u32,
    /// How many connections one runner accepts.
    pub connections: u32,
    /// The time that a caller is kept waiting at most, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may run twice without harm.
    pub idempotent: bool,
}
