//! Bulk on the link.

/// A checkpoint or input on its way.
#[derive(Clone, Copy, Debug)]
pub(super) struct LinkTransfer {
    pub(super) task: usize,
    pub(super) bytes_left: f64,
}
