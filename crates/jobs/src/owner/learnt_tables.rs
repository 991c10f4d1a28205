//! What an owner has learnt.

use serde::Deserialize;
use serde::Serialize;

/// What an owner has learnt of queues and images, stored now and then so that the
/// next owner need not learn it again. Losing it costs no more than that time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearntTables {
    /// How long a run of a queue takes, in milliseconds.
    pub durations_ms: Vec<(Box<str>, f64)>,
    /// The load that a processor of the first image puts on runs of the second.
    pub parts: Vec<(Box<str>, Box<str>, f64)>,
    /// The lowest latency of an image, in milliseconds.
    pub lowest_ms: Vec<(Box<str>, u64)>,
}
