//! What a choice of a runner is asked.

use sapphirestile_core::MonoTime;

/// A question for a runner.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The service that the caller named.
    pub service: &'a str,
    /// A runner that failed this request before and is not chosen again.
    pub avoid: Option<&'a str>,
    /// The time now.
    pub now: MonoTime,
    /// The time at which the caller stops waiting.
    pub deadline: MonoTime,
    /// A fresh random number.
    pub random: u64,
}
