//! Classification of the store's error responses.

use crate::store::StoreError;
use sapphirestile_wire::store::ErrorResponse;

const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_TOO_MANY_REQUESTS: u16 = 429;
const STATUS_UNAVAILABLE: u16 = 503;

/// The error message with which the store rejects a call before executing any of it.
const NO_LEADER: &str = "etcdserver: no leader";

/// Determines from an error response whether the call may have taken effect.
///
/// Status 503 alone does not prove that nothing was done: the store also returns it when
/// a call timed out during execution.
pub(crate) fn classify_failure(status: u16, body: &[u8]) -> StoreError {
    match status {
        STATUS_BAD_REQUEST | STATUS_NOT_FOUND | STATUS_TOO_MANY_REQUESTS => StoreError::NotRun,
        STATUS_UNAVAILABLE if is_no_leader(body) => StoreError::NotRun,
        _ => StoreError::Unknown,
    }
}

fn is_no_leader(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorResponse>(body)
        .is_ok_and(|response| response.message == NO_LEADER)
}
