//! Requests of an owner to workers.

use crate::owner::SessionRenewal;
use crate::owner::StartRequest;
use crate::owner::StopRequest;
use crate::owner::ThrottleRequest;

/// A request to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEffect {
    /// Open or renew a session.
    Session(SessionRenewal),
    /// Start an attempt.
    Start(StartRequest),
    /// Stop an attempt.
    Stop(StopRequest),
    /// Limit the processor time of an attempt.
    Throttle(ThrottleRequest),
}
