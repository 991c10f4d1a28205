//! The regions and zones of a document.

use std::fmt::Write as _;

/// Five zones in two regions.
pub const ZONES: [&str; 5] = ["near-a", "near-b", "near-c", "far-d", "far-e"];

/// The sections of the regions and zones.
pub fn zone_text() -> String {
    let mut text = "[region near]\nlink_mbit = 30\n[region far]\nlink_mbit = 30\n".to_owned();
    for zone in ZONES {
        let region = zone.split('-').next().unwrap_or(zone);
        // Writing into a text cannot fail.
        let _written = writeln!(text, "[zone {zone}]\nregion = {region}\nstate = in");
    }
    text
}
