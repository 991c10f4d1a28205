//! Time limits that the platform sets.

use sapphirestile_core::SectionReader;

const SECONDS_EXPECTED: &str = "seconds from 1 to 86400";
const SECONDS_MAX: f64 = 86_400.0;
const MILLIS_EXPECTED: &str = "milliseconds from 100 to 600000";
const MS_PER_S: f64 = 1_000.0;

/// The least time within which a configuration has to be in effect for daemons to rely on
/// copies of it, in milliseconds: ordinarily a copy is in effect after up to 2.35 s, and owners
/// that stop following are noticed after 3 s.
const COPIES_LEAST_MS: u64 = 4_000;

/// Time limits that the platform sets, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BoundSettings {
    /// The maximum lease of a run.
    pub lease_max_ms: u64,
    /// How long the state of an ended job must remain available.
    pub remember_ms: u64,
    /// How long the daemon has to shut down once it is told to stop.
    pub grace_ms: u64,
    /// The time within which a configuration has to be in effect; 0 if the platform does not
    /// say.
    pub config_apply_ms: u64,
}

impl BoundSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let lease = reader.ranged("lease_max_ms", None, 100..=600_000, MILLIS_EXPECTED);
        let remember = read_seconds(&mut reader, "remember_s");
        let grace = read_seconds(&mut reader, "grace_s");
        let config_apply = read_optional_millis(&mut reader, "config_apply_ms");
        reader.finish();
        Some(Self {
            lease_max_ms: lease?,
            remember_ms: remember?,
            grace_ms: grace?,
            config_apply_ms: config_apply?,
        })
    }

    /// Whether a configuration may take the way of a copy, which needs longer than a read of
    /// it.
    #[must_use]
    pub const fn allows_copies(&self) -> bool {
        self.config_apply_ms >= COPIES_LEAST_MS
    }
}

/// The milliseconds at `key`; 0 if the platform gives none.
fn read_optional_millis(reader: &mut SectionReader<'_>, key: &'static str) -> Option<u64> {
    match reader.optional_text(key) {
        None | Some("") => Some(0),
        Some(_) => reader.ranged(key, None, 100..=600_000, MILLIS_EXPECTED),
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
