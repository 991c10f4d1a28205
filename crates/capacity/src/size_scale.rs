//! How many sizes to measure.

/// How many of the sizes of a measurement are taken.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::SizeScale;
///
/// assert_eq!(SizeScale::Smallest.pick(&[48, 500]), [48]);
/// assert_eq!(SizeScale::All.pick(&[48, 500]), [48, 500]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeScale {
    /// The smallest only.
    Smallest,
    /// All of them, up to the two-year size.
    All,
}

impl SizeScale {
    /// The sizes to measure, of `sizes` from small to large.
    #[must_use]
    pub fn pick<T>(self, sizes: &[T]) -> &[T] {
        match self {
            Self::Smallest => &sizes[..sizes.len().min(1)],
            Self::All => sizes,
        }
    }
}
