//! The unvalidated `worker` field of a runner's record.

use serde::Deserialize;
use serde::de::IgnoredAny;

/// Any JSON value, so that an invalid `worker` field does not fail decoding of the list.
#[derive(Deserialize)]
#[serde(untagged)]
pub(super) enum ListedWorker {
    /// `null`.
    Absent(()),
    /// A string, which may be a valid worker name.
    Text(String),
    /// Any other JSON value.
    Other(IgnoredAny),
}
