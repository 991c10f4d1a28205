//! Reads a number from decimal digits.

use serde::de::Error;
use serde::de::Visitor;

use crate::store::DecimalNumber;

/// Reads a number from JSON text or a JSON number.
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
