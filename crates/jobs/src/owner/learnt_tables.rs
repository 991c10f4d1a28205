//! Learnt estimates of an owner.

use serde::Deserialize;
use serde::Serialize;

use crate::owner::LearntCoefficient;

/// What an owner has learnt about queues and images. It is stored periodically, so that
/// the next owner need not learn it again; losing it costs only the time to relearn.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearntTables {
    /// Average duration of runs by queue, in milliseconds.
    pub durations_ms: Vec<(Box<str>, f64)>,
    /// Interference of pairs of images.
    pub coefficients: Vec<LearntCoefficient>,
    /// Lowest latency seen for an image, in milliseconds.
    pub lowest_ms: Vec<(Box<str>, u64)>,
}
