//! The bounds of a port.

/// How many connections a port has, and how long a body may take on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortLimits {
    /// The most connections at a time.
    pub connections: usize,
    /// The longest time that a body may take to arrive, in milliseconds.
    pub body_max_ms: u64,
}
