//! Who and where the daemon is.

use sapphirestile_core::DaemonName;
use sapphirestile_core::SectionReader;
use sapphirestile_core::ZoneName;

/// Who and where the daemon is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeSettings {
    /// The daemon's name.
    pub name: DaemonName,
    /// The availability zone.
    pub zone: ZoneName,
}

impl NodeSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let name = reader.checked("name", "a daemon's name");
        let zone = reader.checked("zone", "the name of an availability zone");
        reader.finish();
        Some(Self {
            name: name?,
            zone: zone?,
        })
    }
}
