//! A range of keys.

use sapphirestile_wire::store::Base64Bytes;

/// The keys from `first` up to, and not including, `end`, as in etcd.
///
/// # Examples
///
/// ```
/// use sapphirestile_standins::store::KeyRange;
///
/// let single = KeyRange { first: b"a", end: b"" };
/// assert!(single.contains(b"a") && !single.contains(b"aa"));
/// let open = KeyRange { first: b"b", end: b"\0" };
/// assert!(open.contains(b"z") && !open.contains(b"a"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyRange<'a> {
    /// The first key of the range.
    pub first: &'a [u8],
    /// The end of the range, exclusive. Empty for the single key `first`; one zero byte for
    /// all keys from `first` on.
    pub end: &'a [u8],
}

impl<'a> KeyRange<'a> {
    /// Creates the range from the two fields of a request, which use the same encoding.
    #[must_use]
    pub fn of(key: &'a Base64Bytes<'_>, range_end: &'a Base64Bytes<'_>) -> Self {
        Self {
            first: key.as_bytes(),
            end: range_end.as_bytes(),
        }
    }

    /// Whether `key` is in the range.
    #[must_use]
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end {
            [] => key == self.first,
            [0] => key >= self.first,
            end => key >= self.first && key < end,
        }
    }
}
