//! Where a runner stands between ejection and recovery.

use sapphirestile_core::MonoTime;

/// Where a runner stands between ejection and recovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It gets no requests until this time.
    Ejected {
        /// When its trial begins.
        until: MonoTime,
    },
    /// It gets one request at a time.
    Trial {
        /// How many answers it had given when the trial began.
        answers: u64,
    },
    /// It gets requests as before.
    Recovered,
}
