//! The outcome of one attempt of a request.

use crate::callers::CallerReply;
use sapphirestile_core::RunnerName;
use sapphirestile_routing::ReceivedPhase;
use sapphirestile_routing::RequestCycle;

/// The outcome of sending a request to one runner.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The request is finished and gets this reply.
    Finished(CallerReply),
    /// The request is to be sent again, to another runner.
    Retry {
        /// The request, back in the phase before a runner is chosen.
        cycle: Box<RequestCycle<ReceivedPhase>>,
        /// The runner of the failed attempt, which the next one does not use.
        avoid: RunnerName,
        /// `true` if the runner may have run the request.
        may_have_run: bool,
    },
}
