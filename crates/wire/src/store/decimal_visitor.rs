//! Decoding of 64-bit integers.

use serde::de::Error;
use serde::de::Visitor;

use crate::store::DecimalNumber;

/// Decodes an integer from a JSON number or from a string of decimal digits.
pub(super) struct DecimalVisitor;

impl Visitor<'_> for DecimalVisitor {
    type Value = DecimalNumber;

    fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("a whole number or its decimal text")
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Self::Value, E> {
        Ok(DecimalNumber::new(number))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Self::Value, E> {
        DecimalNumber::try_from(number).map_err(E::custom)
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Self::Value, E> {
        text.parse().map(DecimalNumber::new).map_err(E::custom)
    }
}
