//! A `[region NAME]` section of the document.

use crate::SectionReader;

const LINK_DEFAULT_MBIT: u32 = 30;
const LINK_MAX_MBIT: u32 = 100_000;
const LINK_EXPECTED: &str = "megabits a second from 1 to 100000";

/// A `[region NAME]` section: the settings of one region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegionEntry {
    /// The bandwidth of the link to other regions, in megabits per second.
    pub link_mbit: u32,
}

impl RegionEntry {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let default = Some(LINK_DEFAULT_MBIT);
        let link_mbit = reader.ranged("link_mbit", default, 1..=LINK_MAX_MBIT, LINK_EXPECTED);
        reader.finish();
        Some(Self {
            link_mbit: link_mbit?,
        })
    }

    /// The keys of the section with their values as INI text, in the order in which
    /// they are written.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![("link_mbit", self.link_mbit.to_string())]
    }
}
