//! What became of a write whose answer was lost.

use sapphirestile_core::ConfigRevision;

/// What a later row of the document says of an earlier write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    /// The write took effect at this revision; it may have been replaced since.
    Written(ConfigRevision),
    /// Another write came first; this one never takes effect.
    Beaten,
    /// The row does not tell: the write may still be on its way, or too many
    /// changes came since.
    Unknown,
}
