//! Why no runner was chosen.

/// A refusal. Each one means that the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefusal {
    /// The service is not known.
    NoService,
    /// No runner of the service takes work.
    NoRunner,
    /// Every token held for the service's runners is in use.
    NoSlot,
    /// The deadline has passed or cannot be met.
    DeadlinePassed,
    /// The request was shed in favour of more important ones.
    Shed,
    /// The record of an at-most-once request could not be written.
    NoRecord,
    /// The runner itself said that it did not run the request.
    RunnerDeclined,
    /// The daemon is stopping and takes no new request.
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
