//! How far away a chosen runner is.

/// How far a request travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteReach {
    /// Within the daemon's own zone.
    Zone,
    /// To another zone of the daemon's region.
    Region,
    /// Over the link to another region.
    Remote,
}
