//! What tells the bytes of one kind from others.

use prometheus_client::encoding::EncodeLabelSet;

/// What tells the bytes of one kind from others.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TrafficLabels {
    /// The service.
    pub service: String,
    /// How far the bytes travelled: `zone`, `region` or `remote`.
    pub reach: &'static str,
    /// `sent` for requests, `received` for answers.
    pub direction: &'static str,
}
