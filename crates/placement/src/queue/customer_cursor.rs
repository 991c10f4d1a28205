//! Position of a queue pass within one customer's jobs.

/// The jobs of one customer and urgency that a pass has not tried yet, as a range of
/// indices into the pass's jobs.
#[derive(Clone, Copy, Debug)]
pub(super) struct CustomerCursor {
    /// Whether the jobs are not urgent.
    pub(super) backlog: bool,
    /// The index of the next job to try.
    pub(super) next: usize,
    /// The index after the last job.
    pub(super) end: usize,
    /// The number of tasks of the next job that were placed in this pass.
    pub(super) placed: usize,
}

impl CustomerCursor {
    /// Moves to the next job.
    pub(super) const fn advance(&mut self) {
        self.next += 1;
        self.placed = 0;
    }

    /// Whether all jobs were tried.
    pub(super) const fn is_done(&self) -> bool {
        self.next >= self.end
    }
}
