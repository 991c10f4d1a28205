//! How a worker is chosen.

/// How a worker is chosen among those with room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementMode {
    /// By the placement crate.
    Chosen,
    /// At random.
    Random,
    /// In turn.
    RoundRobin,
    /// The least share given away.
    LeastLoaded,
}
