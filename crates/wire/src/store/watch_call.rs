//! Opens a watch.

use serde::Deserialize;
use serde::Serialize;

use crate::store::WatchCreate;

/// Opens a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchCall<'a> {
    /// What is watched.
    #[serde(borrow, alias = "createRequest")]
    pub create_request: WatchCreate<'a>,
}
