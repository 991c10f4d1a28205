//! A kind of fault.

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A commit takes effect and its answer is lost.
    CommitAnswerLost,
    /// A commit is given up for lost and takes effect much later, if it still may.
    CommitLate,
    /// The store answers nobody for a while.
    StoreOutage,
    /// A call to a worker never arrives.
    CallLost,
    /// A call to a worker takes effect and its answer is lost.
    CallAnswerLost,
    /// The answer to a call comes after the call was given up.
    CallAnswerLate,
    /// A call to a worker arrives twice.
    CallTwice,
    /// A call to a worker arrives after later ones.
    CallLate,
    /// A daemon is killed, and starts again as a new life.
    DaemonKilled,
    /// A daemon stands still, and goes on where it stood.
    DaemonFrozen,
    /// A daemon gives a cell up.
    CellReleased,
    /// A daemon claims a cell that another one still owns.
    CellSeized,
    /// A worker and a daemon do not reach each other.
    Partition,
    /// A VM is gone for good, and the list shows it for a while; another comes.
    WorkerGone,
    /// A worker's program starts again, and knows nothing of its life before.
    WorkerRestarted,
    /// Every task fails on a worker.
    WorkerBad,
    /// An attempt fails.
    TaskFails,
    /// A zone is taken out, and returned later.
    ZoneOut,
    /// Many jobs are cancelled at once.
    CancelBurst,
    /// A job is submitted once more.
    SubmitTwice,
    /// Requests beside a worker are slowed, or not any more.
    Pressure,
}

impl FaultKind {
    /// Every kind, in order.
    pub const ALL: [Self; 21] = [
        Self::CommitAnswerLost,
        Self::CommitLate,
        Self::StoreOutage,
        Self::CallLost,
        Self::CallAnswerLost,
        Self::CallAnswerLate,
        Self::CallTwice,
        Self::CallLate,
        Self::DaemonKilled,
        Self::DaemonFrozen,
        Self::CellReleased,
        Self::CellSeized,
        Self::Partition,
        Self::WorkerGone,
        Self::WorkerRestarted,
        Self::WorkerBad,
        Self::TaskFails,
        Self::ZoneOut,
        Self::CancelBurst,
        Self::SubmitTwice,
        Self::Pressure,
    ];
}
