//! Why a body was not taken.

use std::io::Error;
use std::io::ErrorKind;

/// Why the body of a request was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// It ended early or was not understood.
    Broken,
    /// It arrived too slowly.
    TooSlow,
    /// It is larger than allowed.
    TooLarge,
}

impl From<Error> for BodyFault {
    fn from(error: Error) -> Self {
        match error.kind() {
            ErrorKind::TimedOut => Self::TooSlow,
            _ => Self::Broken,
        }
    }
}
