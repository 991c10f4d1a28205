//! How operators prove themselves.

use sapphirestile_core::SectionReader;
use sapphirestile_wire::api::OperatorToken;

/// The `[operators]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// What every call that changes state has to carry, the same for every daemon.
    pub token: OperatorToken,
}

impl OperatorSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let expected = "a secret of 16 to 256 printable ASCII characters without blanks";
        let token = reader.secret("token", expected);
        reader.finish();
        Some(Self { token: token? })
    }
}
