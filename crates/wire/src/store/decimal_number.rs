//! 64-bit integers as JSON strings.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

use crate::store::decimal_visitor::DecimalVisitor;

/// A 64-bit integer, encoded as a JSON string and decoded from a string or a number.
///
/// # Examples
///
/// ```
/// use sapphirestile_wire::store::DecimalNumber;
///
/// assert_eq!(serde_json::to_string(&DecimalNumber::new(7)).unwrap(), "\"7\"");
/// let number: DecimalNumber = serde_json::from_str("7").unwrap();
/// assert_eq!(number.get(), 7);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DecimalNumber(i64);

impl DecimalNumber {
    /// Creates the number from an integer.
    #[must_use]
    pub const fn new(number: i64) -> Self {
        Self(number)
    }

    /// Returns the integer.
    #[must_use]
    pub const fn get(self) -> i64 {
        self.0
    }

    /// Returns the number as a revision, or `None` when it is negative.
    #[must_use]
    pub const fn revision(self) -> Option<u64> {
        if self.0 < 0 {
            None
        } else {
            Some(self.0.cast_unsigned())
        }
    }
}

impl TryFrom<u64> for DecimalNumber {
    type Error = std::num::TryFromIntError;

    fn try_from(number: u64) -> Result<Self, Self::Error> {
        i64::try_from(number).map(Self)
    }
}

impl Serialize for DecimalNumber {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for DecimalNumber {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(DecimalVisitor)
    }
}
