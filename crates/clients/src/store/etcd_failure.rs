//! What a failed answer of the store proves.

use crate::store::StoreError;
use sapphirestile_wire::store::ErrorResponse;

const STATUS_BAD_CALL: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_TOO_MANY: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// What the store says when it turned the call away before it did anything.
const NO_LEADER: &str = "etcdserver: no leader";

/// Judges an answer that is no success.
///
/// Status 503 alone proves nothing: the store answers it too when a call that
/// it had begun timed out.
pub(crate) fn judge_failure(status: u16, body: &[u8]) -> StoreError {
    match status {
        STATUS_BAD_CALL | STATUS_NOT_FOUND | STATUS_TOO_MANY => StoreError::NotRun,
        STATUS_UNAVAILABLE if says_no_leader(body) => StoreError::NotRun,
        _ => StoreError::Unknown,
    }
}

fn says_no_leader(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorResponse>(body).is_ok_and(|answer| answer.message == NO_LEADER)
}
