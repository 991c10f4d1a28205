//! Learned interference of one job.

/// A job's interference in thousandths, and the number of samples behind it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct JobInterference {
    pub(super) permille: i64,
    pub(super) samples: u32,
}
