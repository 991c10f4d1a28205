//! The algorithm that chooses a worker.

/// The algorithm that chooses a worker among those with enough free capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementMode {
    /// The choice of the placement crate, as in production.
    Production,
    /// The first worker that fits, from a random start.
    Random,
    /// The first worker that fits, from a start that advances with each task.
    RoundRobin,
    /// The worker with the least allocated CPU.
    LeastLoaded,
}
