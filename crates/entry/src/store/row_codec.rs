//! Codec for the values of rows.

use sapphirestile_jobs::JobStanding;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes and decodes the values of rows as postcard.
#[derive(Clone, Copy, Debug)]
pub struct RowCodec;

impl RowCodec {
    /// Encodes the value of a row.
    ///
    /// # Panics
    ///
    /// When the value cannot be encoded, which cannot happen for the row types of this
    /// crate.
    pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
        postcard::to_stdvec(value).expect("row types can always be encoded")
    }

    /// Decodes the value of a row; `None` when it is malformed.
    pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
        postcard::from_bytes(value).ok()
    }

    /// Decodes the first part of a value, and returns the rest; `None` when it is malformed.
    pub fn decode_first<T: DeserializeOwned>(value: &[u8]) -> Option<(T, &[u8])> {
        postcard::take_from_bytes(value).ok()
    }

    /// Decodes only the job state, which comes first in a progress row.
    pub fn standing(value: &[u8]) -> Option<JobStanding> {
        let (standing, _rest) = Self::decode_first(value)?;
        Some(standing)
    }
}
