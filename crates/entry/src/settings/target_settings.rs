//! Where the platform answers.

use std::net::SocketAddr;

use sapphirestile_core::SectionReader;

/// Where the platform answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetSettings {
    /// The store.
    pub store: SocketAddr,
}

impl TargetSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let store = reader.number("store", "an IP number and a port");
        reader.finish();
        Some(Self { store: store? })
    }
}
