//! The error of an invalid request key.

use super::KEY_LENGTH_MAX;

/// The error of a text that is not a valid request key: it is empty, longer than
/// 128 characters, or contains a character that is not visible ASCII.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyError;

impl std::fmt::Display for KeyError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            "a request key has 1 to {KEY_LENGTH_MAX} visible ASCII characters"
        )
    }
}

impl std::error::Error for KeyError {}
