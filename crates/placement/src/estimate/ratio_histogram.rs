//! Histogram of the ratio of used to declared resources.

/// With this count the last bucket ends at 961 times the declared size.
const BUCKETS: usize = 128;
/// The upper bounds of successive buckets differ by a factor of 2^(1/8).
const BUCKETS_PER_OCTAVE: usize = 8;
/// 2^(n/8) for n from 0 to 7, in thousandths.
const EIGHTHS_PERMILLE: [u64; BUCKETS_PER_OCTAVE] =
    [1_000, 1_091, 1_189, 1_297, 1_414, 1_542, 1_682, 1_834];
/// The upper bound of the first bucket.
const LOWEST_PERMILLE: u64 = 16;
/// All counts are halved at this total, so that old observations lose weight.
const TOTAL_MAX: u32 = 4_000;
const WHOLE_PERMILLE: u64 = 1_000;

/// A histogram of ratios in thousandths, with exponential buckets.
///
/// Ratios above the last bucket are counted in it.
///
/// # Examples
///
/// ```
/// use sapphirestile_placement::RatioHistogram;
///
/// let mut histogram = RatioHistogram::default();
/// for ratio in [400, 420, 440, 1_900] {
///     histogram.add(ratio);
/// }
/// assert_eq!(histogram.percentile(500), Some(430));
/// assert_eq!(histogram.percentile(1_000), Some(2_048));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RatioHistogram {
    counts: [u32; BUCKETS],
    total: u32,
}

impl Default for RatioHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
        }
    }
}

impl RatioHistogram {
    /// Adds a ratio in thousandths. Older observations lose weight over time.
    pub fn add(&mut self, ratio_permille: u64) {
        self.counts[bucket_of(ratio_permille)] += 1;
        self.total += 1;
        if self.total >= TOTAL_MAX {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
    }

    /// The upper bound of the bucket that contains the percentile `share_permille`,
    /// in thousandths, or `None` if the histogram is empty.
    #[must_use]
    pub fn percentile(&self, share_permille: u64) -> Option<u64> {
        let wanted = (u64::from(self.total) * share_permille).div_ceil(WHOLE_PERMILLE);
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= wanted && seen > 0 {
                return Some(upper_bound(bucket));
            }
        }
        None
    }

    /// The weight of all observations: their number until counts are first halved.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }
}

fn bucket_of(ratio_permille: u64) -> usize {
    (0..BUCKETS)
        .find(|bucket| ratio_permille <= upper_bound(*bucket))
        .unwrap_or(BUCKETS - 1)
}

const fn upper_bound(bucket: usize) -> u64 {
    let octave = LOWEST_PERMILLE << (bucket / BUCKETS_PER_OCTAVE);
    octave * EIGHTHS_PERMILLE[bucket % BUCKETS_PER_OCTAVE] / WHOLE_PERMILLE
}
