//! The input to the choice of a runner.

use sapphirestile_core::MonoTime;

/// The input to the choice of a runner for one request.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// The name of the requested service.
    pub service: &'a str,
    /// The name of a runner that must not be chosen, since this request failed there
    /// before.
    pub avoid: Option<&'a str>,
    /// The current time.
    pub now: MonoTime,
    /// The time at which the caller stops waiting for an answer.
    pub deadline: MonoTime,
    /// A random number, different for each query, that seeds the choice.
    pub random: u64,
}
