//! The addresses of the platform.

use std::net::SocketAddr;

use crate::settings::daemon_settings::read_address;
use sapphirestile_core::SectionReader;

/// The `[platform]` section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the store.
    pub store: SocketAddr,
    /// The address of the service that lists the VMs.
    pub vms: SocketAddr,
}

impl PlatformSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let store = read_address(&mut reader, "store");
        let vms = read_address(&mut reader, "vms");
        reader.finish();
        Some(Self {
            store: store?,
            vms: vms?,
        })
    }
}
