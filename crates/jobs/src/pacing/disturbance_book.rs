//! How much images disturb each other.

use crate::pacing::FillingRun;
use crate::pacing::ImageNumber;
use crate::pacing::ServingRun;
use sapphirestile_core::SortedTable;

/// How far an observation moves what is known, as a share of the error.
const LEARNING_RATE: f64 = 0.25;

/// Keeps a step finite where hardly any processor time was used.
const SMALLEST_POWER: f64 = 4.0;

/// The highest share of its target, in percent, at which a predicted latency still
/// lets a run in: load changes within seconds.
const PREDICTED_MAX_PERCENT: f64 = 60.0;

/// Learns how much a processor used by runs of one image slows runs of another.
///
/// The logarithm of a latency over the lowest seen of its image is taken for a sum
/// of what each neighbour adds, in proportion to the processors that it uses. Each
/// observation moves the parts of its neighbours by normalised least mean squares.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::DisturbanceBook;
/// use sapphirestile_jobs::FillingRun;
/// use sapphirestile_jobs::ImageTable;
/// use sapphirestile_jobs::ServingRun;
/// use sapphirestile_jobs::TaskAddress;
///
/// let mut images = ImageTable::default();
/// let (resize, desk) = (images.number("resize"), images.number("desk"));
/// let noisy = FillingRun {
///     task: TaskAddress::try_from("5c0e7a21d94b36f8.0.0.0").unwrap(),
///     image: resize,
///     processors: 8.0,
///     used_processors: 8.0,
///     pace_percent: 100,
///     can_move: true,
/// };
/// let calm = ServingRun { image: desk, latency_ms: 25, target_ms: 150 };
/// let slow = ServingRun { latency_ms: 500, ..calm };
/// let mut book = DisturbanceBook::default();
/// book.observe(&calm, &[]);
/// assert!(book.allows(&calm, &[noisy]));
/// for _ in 0..10 {
///     book.observe(&slow, &[noisy]);
/// }
/// assert!(!book.allows(&calm, &[noisy]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DisturbanceBook {
    /// What a processor of the first image adds to the logarithm of the second's
    /// latency.
    parts: SortedTable<(ImageNumber, ImageNumber), f64>,
    /// The lowest latency of an image, in milliseconds.
    calm_ms: SortedTable<ImageNumber, u64>,
}

impl DisturbanceBook {
    /// Learns from a latency beside neighbours.
    pub fn observe(&mut self, serving: &ServingRun, neighbours: &[FillingRun]) {
        if serving.latency_ms == 0 {
            return;
        }
        let calm_ms = self
            .calm_ms
            .get_or_insert_with(serving.image, || serving.latency_ms);
        *calm_ms = (*calm_ms).min(serving.latency_ms);
        let observed = logarithm(serving.latency_ms, *calm_ms);
        let expected: f64 = neighbours
            .iter()
            .map(|run| self.part(run.image, serving.image) * run.used_processors)
            .sum();
        let power: f64 = neighbours
            .iter()
            .map(|run| run.used_processors * run.used_processors)
            .sum();
        let step = LEARNING_RATE * (observed - expected) / power.max(SMALLEST_POWER);
        for run in neighbours {
            let part = self
                .parts
                .get_or_insert_with((run.image, serving.image), || 0.0);
            *part = (*part + step * run.used_processors).max(0.0);
        }
    }

    /// What a run adds to the logarithm of another's latency at its full pace.
    #[must_use]
    pub fn addition(&self, run: &FillingRun, serving: &ServingRun) -> f64 {
        self.part(run.image, serving.image) * run.processors
    }

    /// Whether a run with callers is expected to stay well below its target beside
    /// neighbours at their paces.
    #[must_use]
    pub fn allows(&self, serving: &ServingRun, neighbours: &[FillingRun]) -> bool {
        let added: f64 = neighbours
            .iter()
            .map(|run| self.addition(run, serving) * f64::from(run.pace_percent) / 100.0)
            .sum();
        added <= self.allowance(serving)
    }

    /// How much neighbours may add to the logarithm of a latency.
    #[must_use]
    pub fn allowance(&self, serving: &ServingRun) -> f64 {
        let calm_ms = self.calm_ms.get(&serving.image).copied();
        let highest = logarithm(serving.target_ms, calm_ms.unwrap_or(1).max(1));
        highest + (PREDICTED_MAX_PERCENT / 100.0).ln()
    }

    fn part(&self, filling: ImageNumber, serving: ImageNumber) -> f64 {
        self.parts
            .get(&(filling, serving))
            .copied()
            .unwrap_or_default()
    }
}

fn logarithm(latency_ms: u64, calm_ms: u64) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "milliseconds are few")]
    let ratio = latency_ms.max(1) as f64 / calm_ms.max(1) as f64;
    ratio.ln()
}
