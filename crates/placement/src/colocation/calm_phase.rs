//! A worker without throttled tasks.

/// No task is throttled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CalmPhase;
