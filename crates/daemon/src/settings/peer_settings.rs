//! How other daemons are found and authenticated.

use std::net::SocketAddr;

use crate::settings::SharedKey;
use sapphirestile_core::SectionReader;

const SEEDS_EXPECTED: &str = "IP numbers with ports, with commas between them, or nothing";
const ONCE_EXPECTED: &str = "each seed once";

/// The `[peers]` section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerSettings {
    /// Addresses of daemons from which the others are learnt; may be empty.
    pub seeds: Vec<SocketAddr>,
    /// The secret that authenticates the messages of daemons. All daemons have the same.
    pub key: SharedKey,
}

impl PeerSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let seeds = read_seeds(&mut reader);
        let key = reader.secret(
            "key",
            "a secret of 16 to 256 bytes, the same for every daemon",
        );
        reader.finish();
        Some(Self { seeds, key: key? })
    }
}

fn read_seeds(reader: &mut SectionReader<'_>) -> Vec<SocketAddr> {
    let text = reader.optional_text("seeds").unwrap_or("");
    let mut seeds = Vec::new();
    for part in text.split(',').map(str::trim) {
        if part.is_empty() && text.trim().is_empty() {
            continue;
        }
        match part.parse::<SocketAddr>() {
            Ok(seed) if seed.port() == 0 => reader.fault("seeds", part, SEEDS_EXPECTED),
            Ok(seed) if seeds.contains(&seed) => reader.fault("seeds", part, ONCE_EXPECTED),
            Ok(seed) => seeds.push(seed),
            Err(_) => reader.fault("seeds", part, SEEDS_EXPECTED),
        }
    }
    seeds
}
