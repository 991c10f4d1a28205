//! Descriptions of workers from sources other than the worker.

use sapphirestile_core::RackName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

/// A worker as described by the VM list and the operators' document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerFacts {
    /// Name of the worker.
    pub worker: WorkerName,
    /// The zone that it is in.
    pub zone: ZoneName,
    /// The rack that it is in; `None` when unknown, then it shares a rack with no other.
    pub rack: Option<RackName>,
    /// Its total resources.
    pub size: ResourceSize,
    /// False when the worker is being removed or its zone is taken out.
    pub takes_work: bool,
}
