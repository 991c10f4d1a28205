//! What the list of VMs says of a runner's worker, unchecked.

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Whatever stands in the list; nothing that stands there fails the list.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum ListedWorker {
    /// Nothing.
    Absent(()),
    /// A text.
    Text(String),
    /// Something else.
    Other(IgnoredAny),
}
