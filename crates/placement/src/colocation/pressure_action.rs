//! What to do on a disturbed worker.

/// What to do about the tasks on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PressureAction {
    /// Nothing.
    Leave,
    /// Throttle the most disturbing task that is not yet throttled.
    ThrottleOne,
    /// Checkpoint and stop the most disturbing task; it is placed elsewhere.
    StopOne,
    /// Lift the throttle of the least disturbing task.
    ReleaseOne,
}
