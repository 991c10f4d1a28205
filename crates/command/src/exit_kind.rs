//! The exit codes of the tool.

use std::process::ExitCode;

/// The outcome of a command; the value of each variant is the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitKind {
    /// The command was carried out, or help was shown.
    Done = 0,
    /// The request was refused because of what it asks for, such as a change of an
    /// outdated document; nothing was done. Also returned when a watched job fails or is
    /// cancelled.
    Refused = 1,
    /// The arguments or the token in the environment are invalid, or a file cannot be
    /// read or does not name its revision; nothing was sent.
    BadUsage = 2,
    /// The request was not run for a temporary reason; nothing was done, and it can be
    /// sent again later.
    NotRun = 3,
    /// The request may or may not have been carried out.
    Unknown = 4,
    /// No daemon gave a valid response; nothing was changed.
    Unreachable = 5,
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        Self::from(kind as u8)
    }
}
