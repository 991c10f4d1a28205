//! A request that was not answered.

use serde::Serialize;

use crate::callers::CallerRefusal;
use sapphirestile_core::MonoTime;

/// A request that was not answered, as a dump shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusalNote {
    /// When it was refused, on the daemon's clock.
    pub at: MonoTime,
    /// The path that was asked for, cut to a bounded length.
    pub path: String,
    /// What its caller was told.
    pub refusal: CallerRefusal,
}
