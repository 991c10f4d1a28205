//! Faults that can be injected into a runner.

use serde::Deserialize;
use serde::Serialize;

/// Faults that can be injected into a runner, also as JSON with `POST /faults`. Fields that
/// are left out are reset to no fault. When several apply to a request, its response is
/// dropped rather than truncated, and truncated rather than given another number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RunnerFaults {
    /// Additional run time of each request, in milliseconds.
    pub slow_ms: u64,
    /// How many of the next requests are run, but get only the first half of the response
    /// body.
    pub truncate_answers: u64,
    /// How many of the next requests are run, but get no response: the connection is closed.
    pub drop_answers: u64,
    /// How many of the next requests are run, but get a response with the `x-request-id` of
    /// another request.
    pub foreign_answers: u64,
}
