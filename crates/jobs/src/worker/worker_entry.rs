//! Entry in the list of workers.

use std::net::SocketAddr;

use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

use crate::spec::ResourceVector;
use crate::worker::WorkerIncarnation;

/// Entry in the list of workers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Name of the worker, which is kept when the worker restarts.
    pub name: WorkerName,
    /// Service whose tasks the worker runs.
    pub service: Box<str>,
    /// Network address for requests to the worker.
    pub address: SocketAddr,
    /// Availability zone that the worker is in.
    pub zone: ZoneName,
    /// Labels of the worker, such as its machine type and its rack.
    pub labels: Vec<Box<str>>,
    /// Total resources for tasks.
    pub capacity: ResourceVector,
    /// Whether the worker is about to shut down; it gets no new tasks then.
    pub is_leaving: bool,
    /// Incarnation of the worker that wrote the entry.
    pub incarnation: WorkerIncarnation,
}
