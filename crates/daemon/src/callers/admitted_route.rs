//! The runner chosen for one attempt.

use crate::callers::AnswerReservation;
use sapphirestile_routing::RouteChoice;

/// The runner chosen for one attempt, and the bandwidth reserved for its answer.
#[derive(Debug)]
pub struct AdmittedRoute<'l> {
    /// The runner, with the slot taken there.
    pub choice: RouteChoice,
    /// The reservation for the answer; `None` if the runner is in this region.
    pub reservation: Option<AnswerReservation<'l>>,
}
