//! The `[colocation]` section of the document.

use crate::SectionReader;

/// The largest value of either threshold.
const SLOWDOWN_MAX_PERMILLE: u64 = 10_000;
const HIGH_DEFAULT_PERMILLE: u64 = 250;
const LOW_DEFAULT_PERMILLE: u64 = 100;
const THROTTLE_EXPECTED: &str = "true or false";
const PERMILLE_EXPECTED: &str = "thousandths from 1 to 10000";
const LOW_MAX_EXPECTED: &str = "less than high_permille";

/// The `[colocation]` section: whether batch tasks are throttled to protect services
/// on the same machine, and at which slowdown of the services' requests.
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
    /// Whether batch tasks are throttled and stopped; `true` by default.
    pub throttle: bool,
    /// Tasks are throttled above this slowdown of requests, in thousandths; 250 by
    /// default.
    pub high_permille: u64,
    /// Throttles are lifted below this slowdown of requests, in thousandths; 100 by
    /// default. Always less than `high_permille`.
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
        let throttle = reader.value_or("throttle", true, THROTTLE_EXPECTED);
        let mut permille = |key, default| {
            let range = 1..=SLOWDOWN_MAX_PERMILLE;
            reader.ranged(key, Some(default), range, PERMILLE_EXPECTED)
        };
        let high_permille = permille("high_permille", HIGH_DEFAULT_PERMILLE);
        let low_permille = permille("low_permille", LOW_DEFAULT_PERMILLE);
        if let (Some(high), Some(low)) = (high_permille, low_permille)
            && low >= high
        {
            reader.fault("low_permille", &low.to_string(), LOW_MAX_EXPECTED);
        }
        reader.finish();
        Some(Self {
            throttle: throttle?,
            high_permille: high_permille?,
            low_permille: low_permille?,
        })
    }

    /// The keys of the section with their values as INI text, in the order in which
    /// they are written.
    #[must_use]
    pub fn pairs(&self) -> Vec<(&'static str, String)> {
        vec![
            ("throttle", self.throttle.to_string()),
            ("high_permille", self.high_permille.to_string()),
            ("low_permille", self.low_permille.to_string()),
        ]
    }
}
