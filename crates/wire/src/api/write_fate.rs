//! What became of a write whose answer was lost.

/// What a later row of the document says of an earlier write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFate {
    /// The write took effect; it may have been replaced since.
    Written,
    /// Another write came first; this one never takes effect.
    Beaten,
    /// The row does not tell: the write may still be on its way, or too many
    /// changes came since.
    Unknown,
}
