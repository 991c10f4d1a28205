//! How operators are authenticated.

use sapphirestile_core::SectionReader;
use sapphirestile_wire::api::OperatorToken;

/// The `[operators]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSettings {
    /// The token that every call which changes state must carry. All daemons have the same.
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
