//! The number of an image.

/// The number of an image in the table of one owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageNumber(pub u16);
