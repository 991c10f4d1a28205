//! Reservations of workers for urgent jobs.

use sapphirestile_core::JobName;
use sapphirestile_core::MonoTime;

/// The urgent job that a worker is reserved for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UrgentReservation {
    /// The job that it is reserved for.
    pub job: JobName,
    /// When the reservation ends.
    pub until: MonoTime,
}
