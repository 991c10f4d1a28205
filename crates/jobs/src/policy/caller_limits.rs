//! What a caller may send.

/// The bounds of a caller's request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest body, in bytes.
    pub body_max_bytes: usize,
}
