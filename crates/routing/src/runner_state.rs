//! Whether a runner gets requests.

/// Whether a runner gets requests, as decided by the ejection policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerState {
    /// The runner gets requests without restriction.
    Open,
    /// The runner was ejected and gets one request at a time until its trial succeeds.
    Trial,
    /// The runner gets no requests.
    Ejected,
}

impl From<u32> for RunnerState {
    fn from(number: u32) -> Self {
        match number {
            0 => Self::Open,
            1 => Self::Trial,
            _ => Self::Ejected,
        }
    }
}
