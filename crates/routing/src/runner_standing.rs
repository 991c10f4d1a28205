//! Whether a runner gets requests.

/// Whether a runner gets requests, by what was observed of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerStanding {
    /// It gets requests.
    Open,
    /// It was ejected and gets one request at a time until it has proved itself.
    Trial,
    /// It gets none.
    Ejected,
}

impl From<u32> for RunnerStanding {
    fn from(number: u32) -> Self {
        match number {
            0 => Self::Open,
            1 => Self::Trial,
            _ => Self::Ejected,
        }
    }
}
