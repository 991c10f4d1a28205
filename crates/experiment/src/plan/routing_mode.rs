//! How a runner is chosen.

/// How a runner is chosen among those with a free slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingMode {
    /// By the routing crate.
    Chosen,
    /// At random.
    Random,
    /// In turn.
    RoundRobin,
    /// The fewest requests in flight of the same daemon.
    LeastLoaded,
    /// By the routing crate, but first the runner that holds the caller's state.
    Sticky,
}
