//! Failure to read a request body.

use std::io::Error;
use std::io::ErrorKind;

/// Failure to read a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// The body ended early or was malformed.
    Broken,
    /// The body arrived below the minimum rate or after its timeout.
    TooSlow,
    /// The body is larger than allowed.
    TooLarge,
}

impl From<Error> for BodyError {
    fn from(error: Error) -> Self {
        match error.kind() {
            ErrorKind::TimedOut => Self::TooSlow,
            _ => Self::Broken,
        }
    }
}
