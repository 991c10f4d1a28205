//! Estimate of the interference of a pair of images.

/// Estimate of the load that a processor used by one image adds to runs of another.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PairEstimate {
    /// The added load per processor, from 0.
    pub load: f64,
    /// Number of measurements of this owner that the estimate was learnt from.
    pub measurements: u32,
}
