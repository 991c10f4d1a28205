//! A runner for one attempt.

use crate::callers::AnswerCharge;
use sapphirestile_routing::RouteChoice;

/// A runner for one attempt, and what its answer is expected to cost the link.
#[derive(Debug)]
pub struct SoughtRoute<'l> {
    /// The runner and its slot.
    pub choice: RouteChoice,
    /// The answer, when it crosses the link between regions.
    pub charge: Option<AnswerCharge<'l>>,
}
