//! What operators say of a zone.

use crate::RegionName;
use crate::SectionReader;
use crate::ZoneState;

/// One `[zone NAME]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEntry {
    /// The region that the zone lies in.
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

    /// The keys and values of the section.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![
            ("region", self.region.to_string()),
            ("state", self.state.to_string()),
        ]
    }
}
