//! One header of a request.

/// A header, borrowed from whoever sends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderView<'a> {
    /// The name; case does not matter.
    pub name: &'a str,
    /// The value.
    pub value: &'a [u8],
}
