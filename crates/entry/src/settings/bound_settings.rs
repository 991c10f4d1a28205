//! Time limits that the platform sets.

use sapphirestile_core::SectionReader;

const SECONDS_EXPECTED: &str = "seconds from 1 to 86400";
const SECONDS_MAX: f64 = 86_400.0;
const MILLIS_EXPECTED: &str = "milliseconds from 100 to 600000";
const MS_PER_S: f64 = 1_000.0;

/// Time limits that the platform sets, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoundSettings {
    /// The maximum lease of a run.
    pub lease_max_ms: u64,
    /// How long the state of an ended job must remain available.
    pub remember_ms: u64,
    /// How long the daemon has to shut down once it is told to stop.
    pub grace_ms: u64,
}

impl BoundSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let lease = reader.ranged("lease_max_ms", None, 100..=600_000, MILLIS_EXPECTED);
        let remember = read_seconds(&mut reader, "remember_s");
        let grace = read_seconds(&mut reader, "grace_s");
        reader.finish();
        Some(Self {
            lease_max_ms: lease?,
            remember_ms: remember?,
            grace_ms: grace?,
        })
    }
}

fn read_seconds(reader: &mut SectionReader<'_>, key: &'static str) -> Option<u64> {
    let seconds = reader.ranged(key, None, 1.0..=SECONDS_MAX, SECONDS_EXPECTED)?;
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the range was checked"
    )]
    Some((seconds * MS_PER_S) as u64)
}
