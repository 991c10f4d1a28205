//! Addresses of the platform's services.

use std::net::SocketAddr;

use sapphirestile_core::SectionReader;

const ADDRESS_EXPECTED: &str = "an IP number and a port";

/// Addresses of the platform's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// The address of the key-value store.
    pub store: SocketAddr,
    /// The address of the advisor; `None` when there is none.
    pub advice: Option<SocketAddr>,
}

impl TargetSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let store = reader.number("store", ADDRESS_EXPECTED);
        let advice = reader.optional_text("advice").map(str::parse);
        if let Some(Err(_)) = advice {
            reader.fault("advice", "", ADDRESS_EXPECTED);
        }
        reader.finish();
        Some(Self {
            store: store?,
            advice: advice.and_then(Result::ok),
        })
    }
}
