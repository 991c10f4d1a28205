//! What may happen around a zone.

/// One step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ZoneOutAction {
    /// Operators take the zone out or back in.
    ChangeZone,
    /// Time passes.
    Tick,
    /// The worker answers a renewal with a fresh permit.
    GivePermit,
    /// The owner hears of the permit.
    ReceivePermit,
    /// The owner learns the newest configuration.
    LearnRevision,
    /// The owner sends the commit of a batch.
    SendCommit,
    /// The store carries out the commit or refuses it.
    LandCommit,
    /// The owner sends the start.
    SendStart,
    /// The start arrives, and may arrive again.
    DeliverStart,
    /// The start is lost.
    LoseStart,
}
