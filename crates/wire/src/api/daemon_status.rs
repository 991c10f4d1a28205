//! The status of a daemon.

use serde::Deserialize;
use serde::Serialize;

use crate::api::DaemonPhase;
use crate::api::MemberStatus;
use crate::api::OwnedCell;
use crate::api::QueueStatus;
use crate::api::ServiceStatus;
use crate::api::WorkerPressure;
use crate::api::ZoneStatus;
use sapphirestile_core::CellNumber;
use sapphirestile_core::ConfigRevision;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::ZoneName;

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// The name of the answering daemon.
    pub daemon: DaemonName,
    /// The incarnation of the daemon's process.
    pub incarnation: IncarnationNumber,
    /// The zone that the daemon runs in.
    pub zone: ZoneName,
    /// The daemon's life cycle phase.
    pub phase: DaemonPhase,
    /// The revision of the active configuration document.
    pub revision: ConfigRevision,
    /// Whether the daemon has had an answer of the store recently enough for it to count as
    /// reachable.
    pub store_reachable: bool,
    /// The cells that the daemon owns.
    pub cells: Vec<OwnedCell>,
    /// Cells of the whole system without any listed worker.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub empty_cells: Vec<CellNumber>,
    /// The other members that the daemon knows of.
    pub members: Vec<MemberStatus>,
    /// The zones of the active document.
    pub zones: Vec<ZoneStatus>,
    /// The services of the active document.
    pub services: Vec<ServiceStatus>,
    /// The queues of the cells that the daemon owns.
    pub queues: Vec<QueueStatus>,
    /// The workers of the owned cells on whose machines the slowdown of requests was measured.
    #[serde(default)]
    pub pressures: Vec<WorkerPressure>,
}
