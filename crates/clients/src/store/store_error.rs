//! Errors of calls to the store.

/// A failed call, classified by whether it may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect.
    NotRun,
    /// There is no usable response; the call may have taken effect.
    Unknown,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NotRun => "the store did not carry out the call",
            Self::Unknown => "the store's answer was lost",
        })
    }
}

impl std::error::Error for StoreError {}
