//! The response to a read.

use serde::Deserialize;
use serde::Serialize;

use crate::store::DecimalNumber;
use crate::store::KeyValue;
use crate::store::ResponseHeader;

/// The rows of the requested range, in the order of their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResponse<'a> {
    /// The header, with the revision at which the rows were read.
    pub header: ResponseHeader,
    /// The rows.
    #[serde(borrow, default)]
    pub kvs: Vec<KeyValue<'a>>,
    /// The number of rows in the range.
    #[serde(default)]
    pub count: DecimalNumber,
}
