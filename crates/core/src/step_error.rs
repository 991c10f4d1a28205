//! An error with the step and the peer at which it arose.

/// A failed step of a flow, with the peer that it spoke to.
///
/// Reports of `error-stack` carry one of these for each step between the cause
/// and the place that handles it.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::StepError;
///
/// let error = StepError::new("read configuration", "store 127.0.0.1:2379");
/// assert_eq!(error.to_string(), "read configuration at store 127.0.0.1:2379");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepError {
    step: &'static str,
    peer: Box<str>,
}

impl StepError {
    /// An error of `step`, at `peer`.
    #[must_use]
    pub fn new(step: &'static str, peer: &str) -> Self {
        Self {
            step,
            peer: peer.into(),
        }
    }

    /// The step that failed.
    #[must_use]
    pub const fn step(&self) -> &'static str {
        self.step
    }

    /// The peer that the step spoke to.
    #[must_use]
    pub fn peer(&self) -> &str {
        &self.peer
    }
}

impl std::fmt::Display for StepError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{} at {}", self.step, self.peer)
    }
}

impl std::error::Error for StepError {}
