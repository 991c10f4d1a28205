//! The network fault that a proxy simulates.

use std::time::Duration;

/// The network fault that a [`FaultProxy`](crate::FaultProxy) simulates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ProxyMode {
    /// Forwards all data at once.
    #[default]
    Forwarding,
    /// Closes all connections, and closes new ones at once.
    Disconnected,
    /// Accepts connections and forwards requests, but withholds responses until the
    /// mode changes.
    ResponsesHeld,
    /// Accepts connections, but withholds data in both directions until the mode changes.
    Stalled,
    /// Forwards all data, and waits for this long before it forwards each chunk.
    Delayed(Duration),
}
