//! What is known of one job's disturbance.

/// A job's disturbance and how often it was measured.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct NoiseRow {
    pub(super) permille: i64,
    pub(super) samples: u32,
}
