//! The algorithm that chooses a runner.

/// The algorithm that chooses a runner among those with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingMode {
    /// The choice of the routing crate, as in production.
    Production,
    /// The first runner with a free slot, from a random start.
    Random,
    /// The first runner with a free slot, from a start that advances with each request.
    RoundRobin,
    /// The runner with the fewest requests in flight from the same daemon.
    LeastLoaded,
    /// The runner that holds the caller's state, or the choice of the routing crate if
    /// that runner is busy or leaving.
    Sticky,
}
