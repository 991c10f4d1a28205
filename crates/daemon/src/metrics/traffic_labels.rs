//! The labels of the counters of bytes.

use prometheus_client::encoding::EncodeLabelSet;

/// The labels of a counter of the bytes of requests or answers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabels {
    /// The service of the requests.
    pub service: String,
    /// Where the runner is, seen from this daemon: in its `zone`, in its `region`, or
    /// `remote`, which is in another region.
    pub reach: &'static str,
    /// `sent` for requests, `received` for answers.
    pub direction: &'static str,
}
