//! Move of a job to another cell.

use std::sync::Arc;

use sapphirestile_core::CellNumber;

use crate::spec::JobIdentity;
use crate::spec::JobSpec;

/// Move of a job to another cell, whose owner starts it from its specification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobMove {
    /// Job that moves.
    pub job: JobIdentity,
    /// Specification by the caller.
    pub spec: Arc<JobSpec>,
    /// Cell that the job moves to.
    pub target: CellNumber,
}
