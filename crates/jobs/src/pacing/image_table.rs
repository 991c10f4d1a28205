//! Table of images.

use crate::pacing::ImageNumber;
use sapphirestile_core::SortedTable;

/// Assigns a number to each image name.
///
/// # Examples
///
/// ```
/// use sapphirestile_jobs::ImageTable;
///
/// let mut table = ImageTable::default();
/// let first = table.number("resize");
/// assert_ne!(table.number("render"), first);
/// assert_eq!(table.number("resize"), first);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ImageTable {
    numbers: SortedTable<Box<str>, ImageNumber>,
}

impl ImageTable {
    /// Name of the image with the given number; `None` if it was not assigned by this table.
    #[must_use]
    pub fn name(&self, number: ImageNumber) -> Option<&str> {
        let mut entries = self.numbers.iter();
        entries
            .find(|(_, other)| **other == number)
            .map(|(name, _)| &**name)
    }

    /// Number of an image, assigned on first use. All images beyond the 65,535th share one.
    pub fn number(&mut self, image: &str) -> ImageNumber {
        if let Some(number) = self.numbers.get(image) {
            return *number;
        }
        let next = u16::try_from(self.numbers.len()).unwrap_or(u16::MAX);
        self.numbers.insert(image.into(), ImageNumber(next));
        ImageNumber(next)
    }
}
