//! The part that every answer of the store has.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;

/// Where the store stood when it answered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHeader {
    /// The revision of the store.
    #[serde(default)]
    pub revision: DecimalNumber,
}
