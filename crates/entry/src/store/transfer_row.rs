//! Rows of tasks that are transferred.

use sapphirestile_jobs::DelegatedTask;
use sapphirestile_jobs::ReturnedTask;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::store::RowCodec;

/// Encodes and decodes the rows of tasks that are transferred. The time for which a task has
/// been idle comes behind what earlier versions read; their rows do not have it.
#[derive(Clone, Copy, Debug)]
pub struct TransferRow;

impl TransferRow {
    /// Encodes a task that another cell is to run.
    #[must_use]
    pub fn encode_delegated(delegated: &DelegatedTask) -> Vec<u8> {
        Self::encode(delegated, delegated.idle_ms)
    }

    /// Encodes a task that another cell gives back.
    #[must_use]
    pub fn encode_returned(returned: &ReturnedTask) -> Vec<u8> {
        Self::encode(returned, returned.idle_ms)
    }

    /// Decodes a task that this cell is to run; `None` when the row is malformed.
    #[must_use]
    pub fn decode_delegated(value: &[u8]) -> Option<DelegatedTask> {
        let (delegated, idle_ms) = Self::decode(value)?;
        Some(DelegatedTask {
            idle_ms,
            ..delegated
        })
    }

    /// Decodes a task that comes back; `None` when the row is malformed.
    #[must_use]
    pub fn decode_returned(value: &[u8]) -> Option<ReturnedTask> {
        let (returned, idle_ms) = Self::decode(value)?;
        Some(ReturnedTask {
            idle_ms,
            ..returned
        })
    }

    fn encode(task: &impl Serialize, idle_ms: u64) -> Vec<u8> {
        let mut value = RowCodec::encode(task);
        value.extend(RowCodec::encode(&idle_ms));
        value
    }

    fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<(T, u64)> {
        let (task, rest) = RowCodec::decode_first(value)?;
        if rest.is_empty() {
            return Some((task, 0));
        }
        Some((task, RowCodec::decode(rest)?))
    }
}
