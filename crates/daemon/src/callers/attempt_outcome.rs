//! What became of one attempt of a request.

use crate::callers::CallerReply;
use sapphirestile_core::RunnerName;
use sapphirestile_routing::ReceivedPhase;
use sapphirestile_routing::RequestCycle;

/// What became of one attempt.
#[derive(Debug)]
pub enum AttemptOutcome {
    /// The request has its reply.
    Ended(CallerReply),
    /// The request is tried again, with another runner than this one.
    Again {
        /// The request, received anew.
        cycle: Box<RequestCycle<ReceivedPhase>>,
        /// The runner of the attempt.
        avoid: RunnerName,
        /// Whether the attempt may have run.
        lost: bool,
    },
}
