//! The direction in which a proxy forwards data.

/// The direction in which a proxy forwards data.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum RelayDirection {
    /// From the client to the target.
    ToTarget,
    /// From the target to the client.
    FromTarget,
}
