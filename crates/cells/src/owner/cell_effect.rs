//! Requests of an owner to workers.

use crate::owner::AttemptStart;
use crate::owner::AttemptStop;
use crate::owner::SessionRenewal;
use crate::owner::ThrottleRequest;

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEffect {
    /// Open or renew a session.
    Session(SessionRenewal),
    /// Start an attempt.
    Start(AttemptStart),
    /// Stop an attempt.
    Stop(AttemptStop),
    /// Limit the processor time of an attempt.
    Throttle(ThrottleRequest),
}
