//! An error with the step that failed and the peer involved.

/// A step that failed, with the peer that it communicated with.
///
/// An `error-stack` report carries one of these for each step between the cause of the
/// error and the code that handles it.
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
    /// An error of `step`, such as `read configuration`, at `peer`, such as
    /// `store 127.0.0.1:2379`.
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

    /// The peer that the step communicated with.
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
