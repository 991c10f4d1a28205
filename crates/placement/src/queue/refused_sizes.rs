//! Sizes refused for lack of capacity.

use sapphirestile_core::ResourceSize;

/// The smallest sizes that were refused for lack of capacity in a pass.
#[derive(Clone, Debug, Default)]
pub(super) struct RefusedSizes {
    sizes: Vec<ResourceSize>,
}

impl RefusedSizes {
    /// Adds a refused size and drops those that it makes redundant.
    pub(super) fn add(&mut self, size: &ResourceSize) {
        self.sizes.retain(|known| !size.fits_in(known));
        self.sizes.push(*size);
    }

    /// Whether a size no larger than `size` was refused.
    pub(super) fn cover(&self, size: &ResourceSize) -> bool {
        self.sizes.iter().any(|known| known.fits_in(size))
    }
}
