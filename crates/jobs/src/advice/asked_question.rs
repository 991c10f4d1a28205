//! The question that is under way.

use sapphirestile_core::MonoTime;

use crate::advice::AdviceOrder;

/// The question that is under way.
#[derive(Clone, Debug)]
pub(crate) struct AskedQuestion {
    pub(crate) order: AdviceOrder,
    /// The lives of the workers, in the order of the question.
    pub(crate) lives_unix_ms: Vec<u64>,
    pub(crate) asked: MonoTime,
}
