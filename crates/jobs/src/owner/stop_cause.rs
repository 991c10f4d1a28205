//! Why a run is stopped.

/// Why the owner asks a worker to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The run takes far longer than others of its queue, and its worker completes none.
    Stuck,
    /// Another run of the task has completed.
    CopyDone,
    /// The run slows latency-sensitive runs beside it, and goes on at another worker.
    Interference,
    /// The worker is leaving, and the run loses nothing by moving.
    WorkerLeaving,
    /// The job has ended or was cancelled.
    JobEnded,
    /// Another run of the gang has ended, so that this one makes no progress.
    GangBroken,
    /// Whether the worker took the start request is not known.
    StartUnknown,
    /// The worker has the run although it should not.
    Unexpected,
}
