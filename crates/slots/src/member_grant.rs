//! Tokens granted to one member.

use serde::Deserialize;
use serde::Serialize;

/// The tokens of one runner that were granted to and retired by one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberGrant {
    /// Tokens granted, plus those received from and minus those sent to members that
    /// have been removed since. Negative if the member passed on tokens that it had
    /// received from others.
    pub base: i64,
    /// Tokens removed permanently because the runner's slots were reduced.
    pub retired: u32,
}

impl MemberGrant {
    /// The granted minus the retired tokens.
    #[must_use]
    pub fn net(&self) -> i64 {
        self.base - i64::from(self.retired)
    }
}
