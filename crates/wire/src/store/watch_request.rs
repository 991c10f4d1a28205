//! A request to open a watch.

use serde::Deserialize;
use serde::Serialize;

use crate::store::WatchCreate;

/// Opens a watch on a range of keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchRequest<'a> {
    /// The keys to watch, and the revision to start from.
    #[serde(borrow, alias = "createRequest")]
    pub create_request: WatchCreate<'a>,
}
