//! Why a worker has no room for a best-effort task.

/// Why a worker gets no best-effort task although its memory would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomRefusal {
    /// Not all the processor time that the task can use is idle.
    Processors,
    /// The latency of a run beside it is too near its target.
    Latency,
    /// With the task a run beside it is expected to become too slow.
    Interference,
}
