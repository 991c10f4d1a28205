//! The state of a runner between ejection and recovery.

use sapphirestile_core::MonoTime;

/// The state of a runner between ejection and recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// The runner gets no requests.
    Ejected {
        /// The time at which its trial starts.
        until: MonoTime,
    },
    /// The runner gets one request at a time.
    Trial {
        /// The answers counted by its gauge when the trial started.
        answers: u64,
    },
    /// The runner gets requests without restriction.
    Recovered,
}
