//! How often each ratio of used to declared was seen.

/// The last bucket ends at 961 times what was declared.
const BUCKETS: usize = 128;
/// Upper ends of the buckets grow by an eighth of an octave each.
const BUCKETS_PER_OCTAVE: usize = 8;
const EIGHTHS_PERMILLE: [u64; BUCKETS_PER_OCTAVE] =
    [1_000, 1_091, 1_189, 1_297, 1_414, 1_542, 1_682, 1_834];
const LOWEST_PERMILLE: u64 = 16;
const WEIGHT_MAX: u32 = 4_000;
const WHOLE_PERMILLE: u64 = 1_000;

/// Counts of ratios in thousandths, in buckets of an eighth of an octave.
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
    /// Counts a ratio in thousandths. Old counts fade as new ones come.
    pub fn add(&mut self, ratio_permille: u64) {
        self.counts[bucket_of(ratio_permille)] += 1;
        self.total += 1;
        if self.total >= WEIGHT_MAX {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
    }

    /// The upper end of the bucket below which `share_permille` of the counts lie.
    #[must_use]
    pub fn percentile(&self, share_permille: u64) -> Option<u64> {
        let wanted = (u64::from(self.total) * share_permille).div_ceil(WHOLE_PERMILLE);
        let mut seen = 0;
        for (bucket, count) in self.counts.iter().enumerate() {
            seen += u64::from(*count);
            if seen >= wanted && seen > 0 {
                return Some(upper_end(bucket));
            }
        }
        None
    }

    /// How many counts it holds.
    #[must_use]
    pub const fn total(&self) -> u32 {
        self.total
    }
}

fn bucket_of(ratio_permille: u64) -> usize {
    (0..BUCKETS)
        .find(|bucket| ratio_permille <= upper_end(*bucket))
        .unwrap_or(BUCKETS - 1)
}

const fn upper_end(bucket: usize) -> u64 {
    let octave = LOWEST_PERMILLE << (bucket / BUCKETS_PER_OCTAVE);
    octave * EIGHTHS_PERMILLE[bucket % BUCKETS_PER_OCTAVE] / WHOLE_PERMILLE
}
