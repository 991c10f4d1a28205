//! How far a pass has come with one customer.

/// The jobs of one customer and urgency that a pass has still to try.
#[derive(Clone, Copy, Debug)]
pub(super) struct CustomerCursor {
    /// Whether the jobs are of the backlog.
    pub(super) backlog: bool,
    /// The place of the job to try next.
    pub(super) next: usize,
    /// The place after the last job.
    pub(super) end: usize,
    /// How many tasks of the next job were placed in this pass.
    pub(super) placed: usize,
}

impl CustomerCursor {
    /// Goes on to the next job.
    pub(super) const fn advance(&mut self) {
        self.next += 1;
        self.placed = 0;
    }

    /// Whether no job is left.
    pub(super) const fn is_done(&self) -> bool {
        self.next >= self.end
    }
}
