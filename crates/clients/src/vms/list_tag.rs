//! The entity tag of a list of VMs.

use crate::http::HttpResponse;

const TAG_MAX_BYTES: usize = 256;
const TAG_HEADER: &str = "etag";

/// The entity tag that identifies one version of the list of VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListTag {
    value: Vec<u8>,
}

impl ListTag {
    /// Returns the response's tag, or `None` when it has none or one of more than 256 bytes.
    #[must_use]
    pub fn of(response: &HttpResponse) -> Option<Self> {
        let value = response.sole_header(TAG_HEADER)?;
        (!value.is_empty() && value.len() <= TAG_MAX_BYTES).then(|| Self {
            value: value.to_vec(),
        })
    }

    /// Returns the tag exactly as given in the `ETag` header.
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        &self.value
    }
}
