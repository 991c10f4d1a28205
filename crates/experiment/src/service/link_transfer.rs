//! A bulk transfer over the link.

/// A checkpoint or the inputs of a task in transfer between the regions.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkTransfer {
    pub(super) task: usize,
    pub(super) remaining_bytes: f64,
}
