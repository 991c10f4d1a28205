//! Limits for requests of callers.

/// Limits for requests of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub body_max_bytes: usize,
}
