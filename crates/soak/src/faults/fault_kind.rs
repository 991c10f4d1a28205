//! Kinds of injected faults.

/// A kind of injected fault. The names of the variants are printed in the fault counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum FaultKind {
    /// A commit is written but its response is lost.
    CommitAnswerLost,
    /// A commit times out and reaches the store 1 to 30 s after it was sent. It is then written
    /// if its conditions still hold.
    CommitLate,
    /// The store is unreachable for all daemons for up to 20 s.
    StoreOutage,
    /// A call to a worker is lost before it arrives.
    CallLost,
    /// A worker executes a call but the answer is lost.
    CallAnswerLost,
    /// The answer to a call arrives after the call has timed out.
    CallAnswerLate,
    /// A call is delivered to a worker twice, up to 6 s apart.
    CallTwice,
    /// A call is delivered to a worker 1 to 10 s late, possibly after later calls, and its
    /// answer is lost.
    CallLate,
    /// A daemon process is killed and restarted 0.5 to 20 s later with a new incarnation.
    DaemonKilled,
    /// A daemon process is paused for up to 45 s and then continues with the state it had.
    DaemonFrozen,
    /// A daemon releases a cell that it owns.
    CellReleased,
    /// A daemon claims a cell whose owner is running.
    CellSeized,
    /// Calls from one daemon to up to seven workers are lost for up to 50 s.
    Partition,
    /// A VM is removed for good while VM lists still show it, and a new one is created up to
    /// 20 s later.
    WorkerGone,
    /// The worker program is restarted and loses its sessions and attempts.
    WorkerRestarted,
    /// Every attempt started on a worker fails for up to 30 s.
    WorkerBad,
    /// A single attempt fails.
    TaskFails,
    /// A zone is taken out of service and returned up to 40 s later.
    ZoneOut,
    /// Several jobs are cancelled at the same time.
    CancelBurst,
    /// A job is submitted twice in a row.
    SubmitTwice,
    /// A daemon reports a random slowdown, possibly none, of the requests that share a machine
    /// with a worker.
    Pressure,
}

impl FaultKind {
    /// All kinds in the order of their declaration.
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
