//! What the jobs of a simulation are like.

/// What the jobs of a simulation are like.
#[expect(clippy::struct_excessive_bools, reason = "a case may have any of them")]
#[derive(Clone, Copy, Debug)]
pub struct TaskMixture {
    /// Processor time of a task of each job, in thousandths of a processor; the jobs go through
    /// the list again and again.
    pub sizes: &'static [u64],
    pub tasks_per_job: u32,
    /// Whether some jobs need a label, and some allow one task on each worker.
    pub has_limits: bool,
    /// Whether short jobs arrive all the time in all cells.
    pub has_short_jobs: bool,
    /// Whether small long-running jobs arrive later.
    pub has_late_jobs: bool,
    /// Whether runs of long-running tasks end by themselves after some seconds.
    pub has_ending_runs: bool,
    /// Whether one owner of a cell after the other dies for some seconds.
    pub has_dying_owners: bool,
    pub cells: usize,
    pub jobs: usize,
    /// Whether half of the workers leave, and those of two cells come back after long waits.
    pub has_returning_workers: bool,
}

impl TaskMixture {
    /// Equal tasks that go on until their job is cancelled.
    pub const EQUAL: Self = Self {
        sizes: &[1_000],
        tasks_per_job: 5,
        has_limits: false,
        has_short_jobs: false,
        has_late_jobs: false,
        has_ending_runs: false,
        has_dying_owners: false,
        cells: 3,
        jobs: 8,
        has_returning_workers: false,
    };

    /// Tasks of several sizes, whose runs end, in a fleet that has little room left once some
    /// workers have gone.
    pub const SIZES: Self = Self {
        sizes: &[1_000, 6_000, 2_000, 3_000],
        tasks_per_job: 4,
        has_ending_runs: true,
        ..Self::EQUAL
    };

    /// Small long-running jobs that arrive while larger tasks have no room. The sizes of these
    /// leave a part of each worker free.
    pub const LATE_JOBS: Self = Self {
        sizes: &[2_500, 6_500, 2_500, 3_500],
        has_late_jobs: true,
        ..Self::SIZES
    };

    /// Tasks of several sizes with short jobs that take what is free.
    pub const SHORT_JOBS: Self = Self {
        has_short_jobs: true,
        ..Self::SIZES
    };

    /// The same with labels and limits per worker.
    pub const LIMITS: Self = Self {
        has_limits: true,
        ..Self::SHORT_JOBS
    };

    /// Tasks of several sizes that wait in many full cells until a part of them gets room.
    pub const RETURNING_WORKERS: Self = Self {
        sizes: &[3_000, 4_000, 2_000, 5_000],
        tasks_per_job: 2,
        cells: 8,
        jobs: 32,
        has_returning_workers: true,
        ..Self::EQUAL
    };

    /// Several sizes, short jobs and limits, with owners that die.
    pub const ALL: Self = Self {
        has_dying_owners: true,
        ..Self::LIMITS
    };
}
