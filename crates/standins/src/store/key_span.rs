//! Keys that a call concerns.

use sapphirestile_wire::store::Base64Bytes;

/// Keys from `first` up to, and not including, `end`.
///
/// # Examples
///
/// ```
/// use sapphirestile_standins::store::KeySpan;
///
/// let sole = KeySpan { first: b"a", end: b"" };
/// assert!(sole.contains(b"a") && !sole.contains(b"aa"));
/// let open = KeySpan { first: b"b", end: b"\0" };
/// assert!(open.contains(b"z") && !open.contains(b"a"));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeySpan<'a> {
    /// The first key.
    pub first: &'a [u8],
    /// The first key left out; empty for `first` alone, a zero byte for no end.
    pub end: &'a [u8],
}

impl<'a> KeySpan<'a> {
    /// The span of a call.
    #[must_use]
    pub fn of(key: &'a Base64Bytes<'_>, range_end: &'a Base64Bytes<'_>) -> Self {
        Self {
            first: key.as_bytes(),
            end: range_end.as_bytes(),
        }
    }

    /// Whether the span has `key`.
    #[must_use]
    pub fn contains(&self, key: &[u8]) -> bool {
        match self.end {
            [] => key == self.first,
            [0] => key >= self.first,
            end => key >= self.first && key < end,
        }
    }
}
