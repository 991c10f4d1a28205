//! Metric label for the outcome of an event.

use prometheus_client::encoding::EncodeLabelSet;

/// Metric label for the outcome of an event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// The label value, a single word.
    pub outcome: &'static str,
}
