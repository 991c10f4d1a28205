//! Pressure phase of a worker without throttled tasks.

/// No task on the worker is throttled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnthrottledPhase;
