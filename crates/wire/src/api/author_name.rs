//! The name of the author of a configuration change.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::de::Error;

/// The maximum length of an author's name, in bytes.
pub const AUTHOR_BYTES_MAX: usize = 64;

/// The author of a configuration change: 1 to 64 bytes of printable text, without
/// leading or trailing white space.
///
/// # Examples
///
/// ```
/// use sapphirestile_wire::api::AuthorName;
///
/// let name = AuthorName::try_from("Maija Meikäläinen").unwrap();
/// assert_eq!(name.as_str(), "Maija Meikäläinen");
/// assert!(AuthorName::try_from(" ").is_err());
/// assert!(AuthorName::try_from("two\nlines").is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct AuthorName(Box<str>);

impl AuthorName {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for AuthorName {
    type Error = &'static str;

    fn try_from(text: &str) -> Result<Self, Self::Error> {
        let is_valid_length = !text.is_empty() && text.len() <= AUTHOR_BYTES_MAX;
        if is_valid_length && text.trim() == text && !text.chars().any(char::is_control) {
            Ok(Self(text.into()))
        } else {
            Err("an author is 1 to 64 bytes of printable text, without margins")
        }
    }
}

impl std::fmt::Display for AuthorName {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for AuthorName {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = <std::borrow::Cow<'de, str>>::deserialize(deserializer)?;
        Self::try_from(text.as_ref()).map_err(D::Error::custom)
    }
}
