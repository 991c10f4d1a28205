//! How the tool ends.

use std::process::ExitCode;

/// What came of a command, as an exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitKind {
    /// Done.
    Done = 0,
    /// Refused for what was asked; nothing was done.
    Refused = 1,
    /// The arguments are wrong; nothing was sent.
    BadUsage = 2,
    /// Not run for a reason that may pass; nothing was done.
    NotRun = 3,
    /// It may or may not have been done.
    Unknown = 4,
    /// No daemon answered; nothing was changed.
    Unreachable = 5,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(kind as u8)
    }
}
