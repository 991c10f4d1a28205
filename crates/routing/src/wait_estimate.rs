//! An estimate of how long a request waits.

/// The parameters from which the wait for a slot is estimated.
///
/// # Examples
///
/// ```
/// use sapphirestile_routing::WaitEstimate;
///
/// let estimate = WaitEstimate { slots: 4, service_us: 20_000 };
/// assert_eq!(estimate.finish_us(0), 25_000);
/// assert_eq!(estimate.finish_us(8), 65_000);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitEstimate {
    /// The number of slots that serve the queue.
    pub slots: u32,
    /// The service time of a request at a runner, in microseconds.
    pub service_us: u64,
}

impl WaitEstimate {
    /// The estimated time until a request behind `ahead` others is answered, in
    /// microseconds.
    #[must_use]
    pub fn finish_us(&self, ahead: usize) -> u64 {
        let turns = u64::try_from(ahead).unwrap_or(u64::MAX).saturating_add(1);
        let wait = self.service_us.saturating_mul(turns) / u64::from(self.slots.max(1));
        wait.saturating_add(self.service_us)
    }
}
