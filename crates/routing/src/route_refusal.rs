//! Why no runner was chosen.

/// The reason why no runner was chosen. Each one means that the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The routing table has no runner of the service.
    NoService,
    /// The service has runners, but none of them takes work.
    NoRunner,
    /// The daemon holds no free token of the service's runners that may be used.
    NoSlot,
    /// The deadline has passed or cannot be met.
    DeadlinePassed,
    /// The request was shed, because the waiting queue was full of requests at least as
    /// important.
    Shed,
    /// The record of an at-most-once request could not be written.
    NoRecord,
    /// The runner itself reported that it did not run the request.
    RunnerDeclined,
    /// The daemon is stopping and accepts no new requests.
    Stopping,
}

impl std::fmt::Display for RouteRefusal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::NoService => "not run: no such service",
            Self::NoRunner => "not run: no runner takes work",
            Self::NoSlot => "not run: no slot is free",
            Self::DeadlinePassed => "not run: the deadline cannot be met",
            Self::Shed => "not run: shed under load",
            Self::NoRecord => "not run: the request could not be recorded",
            Self::RunnerDeclined => "not run: the runner declined",
            Self::Stopping => "not run: the daemon is stopping",
        })
    }
}

impl std::error::Error for RouteRefusal {}
