//! Sizes that found no room.

use sapphirestile_core::ResourceSize;

/// The smallest sizes that found no room in a pass.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedSizes {
    sizes: Vec<ResourceSize>,
}

impl RefusedSizes {
    /// Notes that `size` found no room.
    pub(super) fn add(&mut self, size: &ResourceSize) {
        self.sizes.retain(|known| !size.fits_in(known));
        self.sizes.push(*size);
    }

    /// Whether a size no larger than `size` found no room.
    pub(super) fn cover(&self, size: &ResourceSize) -> bool {
        self.sizes.iter().any(|known| known.fits_in(size))
    }
}
