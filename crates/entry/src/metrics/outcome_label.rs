//! What came of something that is counted.

use prometheus_client::encoding::EncodeLabelSet;

/// What came of something that is counted.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabel {
    /// What came of it, in a word.
    pub outcome: &'static str,
}
