//! Steps of the zone's protocol.

/// A step of the owner, the worker, the store, the operators or the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutAction {
    /// Operators take the zone out of service or put it back.
    ChangeZone,
    /// One tick passes.
    Tick,
    /// The worker answers a renewal of its session with a new permit, which voids the
    /// earlier ones.
    GrantPermit,
    /// The owner receives the permit.
    ReceivePermit,
    /// The owner receives the newest revision of the configuration.
    LearnRevision,
    /// The owner sends the commit of a placement.
    SendCommit,
    /// The store applies the commit or rejects it.
    ProcessCommit,
    /// The owner sends the start request.
    SendStart,
    /// The start request arrives, and may arrive again if the worker accepts it.
    DeliverStart,
    /// The start request is lost.
    LoseStart,
}
