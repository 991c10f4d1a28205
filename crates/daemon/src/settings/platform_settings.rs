//! Where the platform answers.

use std::net::SocketAddr;

use crate::settings::daemon_settings::read_target;
use sapphirestile_core::SectionReader;

/// The `[platform]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The store.
    pub store: SocketAddr,
    /// The list of VMs.
    pub vms: SocketAddr,
}

impl PlatformSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let store = read_target(&mut reader, "store");
        let vms = read_target(&mut reader, "vms");
        reader.finish();
        Some(Self {
            store: store?,
            vms: vms?,
        })
    }
}
