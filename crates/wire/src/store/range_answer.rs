//! The answer to a read.

use serde::Deserialize;
use serde::Serialize;

use crate::store::AnswerHeader;
use crate::store::DecimalNumber;
use crate::store::KeyValue;

/// Rows in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAnswer<'a> {
    /// Where the store stood.
    pub header: AnswerHeader,
    /// The rows.
    #[serde(borrow, default)]
    pub kvs: Vec<KeyValue<'a>>,
    /// How many rows there are.
    #[serde(default)]
    pub count: DecimalNumber,
}
