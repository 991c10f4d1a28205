//! Encodes the values of rows.

use sapphirestile_jobs::JobStanding;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes and decodes the values of rows.
#[derive(Clone, Copy, Debug)]
pub struct RowCodec;

impl RowCodec {
    /// The value of a row.
    ///
    /// # Panics
    ///
    /// When the value cannot be encoded, which a value of ours always can.
    pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
        postcard::to_stdvec(value).expect("a row is always encodable")
    }

    /// What a row holds; none when it is not one of ours.
    pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
        postcard::from_bytes(value).ok()
    }

    /// How the job of a record stands, without reading the rest of it.
    pub fn standing(value: &[u8]) -> Option<JobStanding> {
        let (standing, _rest) = postcard::take_from_bytes(value).ok()?;
        Some(standing)
    }
}
