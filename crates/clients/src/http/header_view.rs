//! A header of a request.

/// A header, borrowed from the sender of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderView<'a> {
    /// The name, case-insensitive.
    pub name: &'a str,
    /// The value, which need not be valid UTF-8.
    pub value: &'a [u8],
}
