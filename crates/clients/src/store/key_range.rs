//! Ranges of keys.

/// The keys from `first` (inclusive) to `end` (exclusive).
///
/// # Examples
///
/// ```
/// use sapphirestile_clients::store::KeyRange;
///
/// let range = KeyRange::of_prefix("cells/");
/// assert_eq!(range.first, b"cells/");
/// assert_eq!(range.end, b"cells0");
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The first key.
    pub first: Vec<u8>,
    /// The end of the range, exclusive; a zero byte for no end.
    pub end: Vec<u8>,
}

impl KeyRange {
    /// Returns the range of keys that start with `prefix`.
    #[must_use]
    pub fn of_prefix(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        // UTF-8 text never contains the byte 255, so incrementing cannot overflow.
        match end.last_mut() {
            Some(last) => *last += 1,
            None => return Self::of_all_keys(),
        }
        Self {
            first: prefix.as_bytes().to_vec(),
            end,
        }
    }

    /// Returns the range of all keys.
    #[must_use]
    pub fn of_all_keys() -> Self {
        Self {
            first: vec![0],
            end: vec![0],
        }
    }
}
