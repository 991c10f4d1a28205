//! What operators say of colocated work.

use crate::SectionReader;

/// The largest threshold, in thousandths.
const SLOWDOWN_MAX_PERMILLE: u64 = 10_000;
const HIGH_DEFAULT_PERMILLE: u64 = 250;
const LOW_DEFAULT_PERMILLE: u64 = 100;
const THROTTLE_EXPECTED: &str = "true or false";
const PERMILLE_EXPECTED: &str = "thousandths from 1 to 10000";
const LOWER_EXPECTED: &str = "less than high_permille";

/// The `[colocation]` section: whether batch tasks are throttled for the sake of
/// services on the same machine, and from which slowdown on.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::OperatorDocument;
///
/// let document = OperatorDocument::try_from("[colocation]\nhigh_permille = 400\n").unwrap();
/// assert!(document.colocation.throttle);
/// assert_eq!(document.colocation.high_permille, 400);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColocationEntry {
    /// Whether batch tasks are throttled and stopped at all.
    pub throttle: bool,
    /// Above this slowdown of requests tasks are throttled, in thousandths.
    pub high_permille: u64,
    /// Below this slowdown of requests throttles are lifted, in thousandths.
    pub low_permille: u64,
}

impl Default for ColocationEntry {
    fn default() -> Self {
        Self {
            throttle: true,
            high_permille: HIGH_DEFAULT_PERMILLE,
            low_permille: LOW_DEFAULT_PERMILLE,
        }
    }
}

impl ColocationEntry {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let throttle = reader.number_or("throttle", true, THROTTLE_EXPECTED);
        let mut permille = |key, default| {
            let range = 1..=SLOWDOWN_MAX_PERMILLE;
            reader.ranged(key, Some(default), range, PERMILLE_EXPECTED)
        };
        let high_permille = permille("high_permille", HIGH_DEFAULT_PERMILLE);
        let low_permille = permille("low_permille", LOW_DEFAULT_PERMILLE);
        if let (Some(high), Some(low)) = (high_permille, low_permille)
            && low >= high
        {
            reader.fault("low_permille", &low.to_string(), LOWER_EXPECTED);
        }
        reader.finish();
        Some(Self {
            throttle: throttle?,
            high_permille: high_permille?,
            low_permille: low_permille?,
        })
    }

    /// The keys and values of the section.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![
            ("throttle", self.throttle.to_string()),
            ("high_permille", self.high_permille.to_string()),
            ("low_permille", self.low_permille.to_string()),
        ]
    }
}
