//! A `[zone NAME]` section of the document.

use crate::RegionName;
use crate::SectionReader;
use crate::ZoneState;

/// A `[zone NAME]` section: the settings of one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEntry {
    /// The region that the zone belongs to.
    pub region: RegionName,
    /// Whether the zone takes work.
    pub state: ZoneState,
}

impl ZoneEntry {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let region = reader.checked("region", "the name of a region");
        let state = reader.checked("state", "in or out");
        reader.finish();
        Some(Self {
            region: region?,
            state: state?,
        })
    }

    /// The keys of the section with their values as INI text, in the order in which
    /// they are written.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![
            ("region", self.region.to_string()),
            ("state", self.state.to_string()),
        ]
    }
}
