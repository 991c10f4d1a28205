//! What is known of a worker from outside.

use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// A worker as the VM list and the document describe it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerFacts {
    /// The worker.
    pub worker: WorkerName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its rack.
    pub rack: Option<RackName>,
    /// Its whole size.
    pub size: ResourceSize,
    /// Whether it stays and its zone takes work.
    pub takes_work: bool,
}
