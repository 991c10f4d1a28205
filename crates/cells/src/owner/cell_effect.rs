//! What an owner asks a worker to do.

use crate::owner::SessionOrder;
use crate::owner::StartOrder;
use crate::owner::StopOrder;
use crate::owner::ThrottleOrder;

/// One call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CellEffect {
    /// Open or renew a session.
    Session(SessionOrder),
    /// Start an attempt.
    Start(StartOrder),
    /// Stop an attempt.
    Stop(StopOrder),
    /// Limit the processor time of an attempt.
    Throttle(ThrottleOrder),
}
