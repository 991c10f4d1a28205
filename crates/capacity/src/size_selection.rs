//! Selection of the sizes to measure.

/// Selects which sizes of a measurement are run.
///
/// # Examples
///
/// ```
/// use sapphirestile_capacity::SizeSelection;
///
/// assert_eq!(SizeSelection::Smallest.select(&[48, 500]), [48]);
/// assert_eq!(SizeSelection::All.select(&[48, 500]), [48, 500]);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SizeSelection {
    /// Only the smallest size, for a fast test.
    Smallest,
    /// All sizes, up to the two-year size.
    All,
}

impl SizeSelection {
    /// Returns the selected ones of `sizes`, which are in ascending order.
    #[must_use]
    pub fn select<T>(self, sizes: &[T]) -> &[T] {
        match self {
            Self::Smallest => &sizes[..sizes.len().min(1)],
            Self::All => sizes,
        }
    }
}
