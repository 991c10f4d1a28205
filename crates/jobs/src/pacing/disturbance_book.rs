//! How much images disturb each other.

use crate::order::JobIdentity;
use crate::pacing::FillingRun;
use crate::pacing::ImageNumber;
use crate::pacing::ServingRun;
use sapphirestile_core::SortedTable;

/// How far an observation moves the load that a job is taken to have by itself, as a
/// share of the error: that load changes within seconds.
const OWN_RATE: f64 = 0.25;

/// The load that a job is taken to have until it is seen.
const OWN_LOAD_FIRST: f64 = 0.3;

/// How far it moves what neighbours are taken to add, as a share of the error.
const PART_RATE: f64 = 0.12;

/// Keeps a step finite where hardly any processor time was used.
const SMALLEST_POWER: f64 = 4.0;

/// Loads above this are told too low by the latency, which has a highest value.
const SATURATED_LOAD: f64 = 0.93;

/// The highest share of its target at which a predicted latency still lets a run in.
const PREDICTED_MAX: f64 = 0.8;

/// Learns how much a processor used by runs of one image loads runs of another.
///
/// A latency is taken for that of a queue: the lowest seen of its image, divided by
/// the part of its server that is idle. Loads add up, so what a latency says beyond
/// its job's own load is its neighbours' doing, in proportion to the processors that
/// they use. Each observation moves the own load and the neighbours' parts by
/// normalised least mean squares.
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
/// let job = noisy.task.job;
/// let calm = ServingRun { job, image: desk, latency_ms: 25, target_ms: 150 };
/// let mut book = DisturbanceBook::default();
/// book.observe(&calm, &[]);
/// assert!(book.allows(&calm, &[noisy]));
/// for _ in 0..30 {
///     book.observe(&ServingRun { latency_ms: 500, ..calm }, &[noisy]);
/// }
/// assert!(!book.allows(&calm, &[noisy]));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DisturbanceBook {
    /// The load that a processor of the first image puts on runs of the second.
    parts: SortedTable<(ImageNumber, ImageNumber), f64>,
    /// The load that a job has by itself, from 0 to 1.
    own_loads: SortedTable<JobIdentity, f64>,
    /// The lowest latency of an image, in milliseconds.
    lowest_ms: SortedTable<ImageNumber, u64>,
}

impl DisturbanceBook {
    /// Learns from a latency beside neighbours.
    pub fn observe(&mut self, serving: &ServingRun, neighbours: &[FillingRun]) {
        if serving.latency_ms == 0 {
            return;
        }
        let lowest_ms = self
            .lowest_ms
            .get_or_insert_with(serving.image, || serving.latency_ms);
        *lowest_ms = (*lowest_ms).min(serving.latency_ms);
        let observed = load_of(serving.latency_ms, *lowest_ms);
        let added: f64 = neighbours
            .iter()
            .map(|run| self.part(run.image, serving.image) * run.used_processors)
            .sum();
        let own_load = self.own_load(serving);
        let error = observed - own_load - added;
        if observed > SATURATED_LOAD && error < 0.0 {
            return;
        }
        let own_load = OWN_RATE.mul_add(error, own_load).clamp(0.0, 1.0);
        self.own_loads.insert(serving.job, own_load);
        self.move_parts(serving.image, neighbours, error);
    }

    /// What a run loads another with at its full pace.
    #[must_use]
    pub fn addition(&self, run: &FillingRun, serving: &ServingRun) -> f64 {
        self.part(run.image, serving.image) * run.processors
    }

    /// Whether a run with callers is expected to stay below its target beside
    /// neighbours at their paces.
    #[must_use]
    pub fn allows(&self, serving: &ServingRun, neighbours: &[FillingRun]) -> bool {
        self.slack(serving, neighbours) >= 0.0
    }

    /// How much more load a run with callers is expected to bear beside neighbours at
    /// their paces; below 0 when it would be too slow.
    #[must_use]
    pub fn slack(&self, serving: &ServingRun, neighbours: &[FillingRun]) -> f64 {
        let added: f64 = neighbours
            .iter()
            .map(|run| self.addition(run, serving) * f64::from(run.pace_percent) / 100.0)
            .sum();
        self.load_at(serving, PREDICTED_MAX) - self.own_load(serving) - added
    }

    /// The load at which the latency of a run is a share of its target.
    #[must_use]
    pub fn load_at(&self, serving: &ServingRun, share: f64) -> f64 {
        let lowest_ms = self.lowest_ms.get(&serving.image).copied().unwrap_or(1);
        1.0 - millis(lowest_ms) / (millis(serving.target_ms) * share).max(1.0)
    }

    /// The load that the latest latency of a run speaks of.
    #[must_use]
    pub fn present_load(&self, serving: &ServingRun) -> f64 {
        let lowest_ms = self.lowest_ms.get(&serving.image).copied().unwrap_or(1);
        load_of(serving.latency_ms, lowest_ms)
    }

    /// What a processor of the first image loads runs of the second with.
    pub fn parts(&self) -> impl Iterator<Item = ((ImageNumber, ImageNumber), f64)> {
        self.parts.iter().map(|(pair, part)| (*pair, *part))
    }

    /// Begins with a part that was learnt before.
    pub fn recall_part(&mut self, pair: (ImageNumber, ImageNumber), part: f64) {
        self.parts.insert(pair, part);
    }

    /// The lowest latency of each image, in milliseconds.
    pub fn lowest_latencies(&self) -> impl Iterator<Item = (ImageNumber, u64)> {
        let rows = self.lowest_ms.iter();
        rows.map(|(image, lowest_ms)| (*image, *lowest_ms))
    }

    /// Begins with a lowest latency that was seen before, in milliseconds.
    pub fn recall_lowest(&mut self, image: ImageNumber, lowest_ms: u64) {
        self.lowest_ms.insert(image, lowest_ms);
    }

    /// Forgets a job that is over.
    pub fn forget(&mut self, job: &JobIdentity) {
        self.own_loads.remove(job);
    }

    fn own_load(&self, serving: &ServingRun) -> f64 {
        let own_load = self.own_loads.get(&serving.job);
        own_load.copied().unwrap_or(OWN_LOAD_FIRST)
    }

    fn move_parts(&mut self, serving: ImageNumber, neighbours: &[FillingRun], error: f64) {
        let power: f64 = neighbours
            .iter()
            .map(|run| run.used_processors * run.used_processors)
            .sum();
        let step = PART_RATE * error / power.max(SMALLEST_POWER);
        for run in neighbours {
            let pair = (run.image, serving);
            let part = self.parts.get_or_insert_with(pair, || 0.0);
            *part = step.mul_add(run.used_processors, *part).max(0.0);
        }
    }

    fn part(&self, filling: ImageNumber, serving: ImageNumber) -> f64 {
        let part = self.parts.get(&(filling, serving));
        part.copied().unwrap_or_default()
    }
}

fn load_of(latency_ms: u64, lowest_ms: u64) -> f64 {
    (1.0 - millis(lowest_ms) / millis(latency_ms).max(1.0)).max(0.0)
}

#[expect(clippy::cast_precision_loss, reason = "milliseconds are few")]
fn millis(milliseconds: u64) -> f64 {
    milliseconds as f64
}
