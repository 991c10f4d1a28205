//! Keys from a first to an end.

/// Keys from `first` up to, and not including, `end`.
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
    /// The first key left out; a zero byte for no end.
    pub end: Vec<u8>,
}

impl KeyRange {
    /// The keys that begin with `prefix`.
    #[must_use]
    pub fn of_prefix(prefix: &str) -> Self {
        let mut end = prefix.as_bytes().to_vec();
        // No byte of UTF-8 text is the largest one, so the last byte can always grow.
        match end.last_mut() {
            Some(last) => *last += 1,
            None => return Self::of_everything(),
        }
        Self {
            first: prefix.as_bytes().to_vec(),
            end,
        }
    }

    /// Every key.
    #[must_use]
    pub fn of_everything() -> Self {
        Self {
            first: vec![0],
            end: vec![0],
        }
    }
}
