//! Limits of an HTTP port.

/// Limits of an HTTP port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortLimits {
    /// The maximum number of concurrent connections.
    pub connections: usize,
    /// The timeout of a request body, in milliseconds.
    pub body_max_ms: u64,
}
