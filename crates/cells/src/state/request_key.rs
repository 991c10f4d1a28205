//! The key of a request that must not run twice.

use serde::Deserialize;
use serde::Serialize;

/// The longest key, in bytes.
pub const KEY_LENGTH_MAX: usize = 128;

/// A caller's idempotency key: 1 to 128 visible ASCII characters.
///
/// # Examples
///
/// ```
/// use sapphirestile_cells::RequestKey;
///
/// assert_eq!(RequestKey::try_from("permit-7").unwrap().as_str(), "permit-7");
/// assert!(RequestKey::try_from("").is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey(Box<str>);

impl RequestKey {
    /// The key as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for RequestKey {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let fits = (1..=KEY_LENGTH_MAX).contains(&text.len());
        if fits && text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Ok(Self(text.into()));
        }
        Err("an idempotency key has 1 to 128 visible ASCII characters")
    }
}

impl std::borrow::Borrow<str> for RequestKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}
