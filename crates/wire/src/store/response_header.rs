//! The header of the store's responses.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// The header that every response of the store has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseHeader {
    /// The store's revision when it answered.
    #[serde(default)]
    pub revision: DecimalNumber,
}
