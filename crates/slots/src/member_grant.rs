//! What one member began with.

use serde::Deserialize;
use serde::Serialize;

/// The tokens of one runner that one member was granted and gave up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberGrant {
    /// Tokens granted, less those handed over to members since removed. Below
    /// zero when the member handed on tokens that other members gave it.
    pub base: i64,
    /// Tokens given up for good because the runner's slots shrank.
    pub retired: u32,
}

impl MemberGrant {
    /// The grant without what was given up.
    #[must_use]
    pub fn net(&self) -> i64 {
        self.base - i64::from(self.retired)
    }
}
