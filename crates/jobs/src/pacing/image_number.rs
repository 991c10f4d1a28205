//! Number of an image.

/// Compact key of an image, valid only with the [`ImageTable`](crate::ImageTable) that
/// assigned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ImageNumber(pub u16);
