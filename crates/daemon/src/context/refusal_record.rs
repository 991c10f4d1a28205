//! A request of a caller that was refused.

use serde::Serialize;

use crate::callers::CallerRefusal;
use sapphirestile_core::MonoTime;

/// A request of a caller that was refused, as a dump of the daemon shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RefusalRecord {
    /// When it was refused, on the daemon's clock.
    pub at: MonoTime,
    /// The path of the request, cut to 128 characters.
    pub path: String,
    /// The refusal that was sent to the caller.
    pub refusal: CallerRefusal,
}
