//! Learnt interference of a pair of images.

use serde::Deserialize;
use serde::Serialize;

/// Load that a processor used by one image adds to runs of another, as an owner has learnt
/// it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearntCoefficient {
    /// Image of the best-effort runs.
    pub best_effort: Box<str>,
    /// Image of the latency-sensitive runs.
    pub serving: Box<str>,
    /// The added load per processor, from 0.
    pub load: f64,
    /// Number of measurements that the owner has learnt it from.
    pub measurements: u32,
}
