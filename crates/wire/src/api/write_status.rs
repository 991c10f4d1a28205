//! Whether a write whose response was lost took effect.

use sapphirestile_core::ConfigRevision;

/// What a row read later shows about an earlier write of the document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStatus {
    /// The write took effect at this revision; it may have been replaced since.
    Written(ConfigRevision),
    /// Another write replaced the revision first; this one can never take effect.
    Conflict,
    /// Undetermined: the write may still be in flight, or the row no longer lists changes
    /// that old.
    Unknown,
}
