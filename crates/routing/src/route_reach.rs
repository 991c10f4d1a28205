//! The distance from a daemon to a runner.

/// The distance that a request travels from a daemon to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RouteReach {
    /// Within the daemon's own zone.
    Zone,
    /// To another zone of the daemon's region.
    Region,
    /// Over the link to another region.
    Remote,
}
