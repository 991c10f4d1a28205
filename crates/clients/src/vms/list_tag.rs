//! What tells one list of VMs from others.

use crate::http::HttpAnswer;

const TAG_MAX_BYTES: usize = 256;
const TAG_HEADER: &str = "etag";

/// What the platform calls a list of VMs that it served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListTag {
    value: Vec<u8>,
}

impl ListTag {
    /// The tag of an answer, when it has one of a fair length.
    #[must_use]
    pub fn of(answer: &HttpAnswer) -> Option<Self> {
        let value = answer.sole_header(TAG_HEADER)?;
        (!value.is_empty() && value.len() <= TAG_MAX_BYTES).then(|| Self {
            value: value.to_vec(),
        })
    }

    /// The value of the header.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.value
    }
}
