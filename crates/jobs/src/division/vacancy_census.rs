//! What the reports of other cells say of room for a task.

/// What the reports of other cells say of room for a task that waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VacancyCensus {
    /// Other cells with a report.
    pub cells: usize,
    /// Other cells that report a worker with room for the task.
    pub cells_with_room: usize,
    /// Largest free processor time of a reported worker of the service, in thousandths of a
    /// processor.
    pub largest_free_cpu_milli: u64,
    /// Age of the newest report, in milliseconds.
    pub newest_ms: u64,
    /// Age of the oldest report, in milliseconds.
    pub oldest_ms: u64,
}
