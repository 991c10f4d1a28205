//! Action against interference on a worker.

/// The action to take on the tasks of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureAction {
    /// Change nothing.
    NoChange,
    /// Throttle the task with the most remaining interference, further if it is
    /// throttled already.
    ThrottleOne,
    /// Checkpoint and stop the task with the most interference, to be placed on
    /// another worker.
    StopOne,
    /// Lift one throttle step of the throttled task with the least interference.
    ReleaseOne,
}
