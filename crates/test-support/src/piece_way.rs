//! Which way a piece goes through a link.

/// Which way a piece goes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum PieceWay {
    /// To the target.
    There,
    /// Back from it.
    Back,
}
