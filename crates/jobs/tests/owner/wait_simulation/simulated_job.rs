//! A job of the simulation, and how long it has had nothing running.

use sapphirestile_jobs::JobIdentity;
use sapphirestile_jobs::JobSpec;

/// A job of the simulation, and how long it has had nothing running.
pub struct SimulatedJob {
    pub identity: JobIdentity,
    pub spec: JobSpec,
    /// When the job comes to the cell, in milliseconds of the Unix epoch.
    pub arrives: u64,
    /// Whether the owner has had the job.
    pub has_arrived: bool,
    /// When a run of the job was last seen; when it was accepted before.
    pub last_running: u64,
}

impl SimulatedJob {
    /// A job that comes to the cell some time after it was accepted.
    pub const fn new(identity: JobIdentity, spec: JobSpec, delay_ms: u64) -> Self {
        Self {
            identity,
            arrives: spec.accepted_unix_ms + delay_ms,
            has_arrived: false,
            last_running: spec.accepted_unix_ms,
            spec,
        }
    }
}
