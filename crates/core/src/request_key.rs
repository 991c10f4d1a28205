//! The idempotency key of an at-most-once request.

mod key_error;

use std::borrow::Cow;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;

pub use key_error::KeyError;

/// The longest key that is accepted, in characters.
pub const KEY_LENGTH_MAX: usize = 128;

/// The idempotency key that a caller gives to a request: requests with the same key are
/// the same request.
///
/// A key has 1 to 128 visible ASCII characters.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::RequestKey;
///
/// let key = RequestKey::try_from("order-17/plot").unwrap();
/// assert_eq!(key.as_str(), "order-17/plot");
/// assert!(RequestKey::try_from("two words").is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct RequestKey(Box<str>);

impl RequestKey {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for RequestKey {
    type Error = KeyError;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let length_fits = !text.is_empty() && text.len() <= KEY_LENGTH_MAX;
        if length_fits && text.chars().all(|character| character.is_ascii_graphic()) {
            return Ok(Self(text.into()));
        }
        Err(KeyError)
    }
}

impl<'de> Deserialize<'de> for RequestKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <Cow<'de, str>>::deserialize(deserializer)?;
        Self::try_from(text.as_ref()).map_err(serde::de::Error::custom)
    }
}

impl std::borrow::Borrow<str> for RequestKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}
