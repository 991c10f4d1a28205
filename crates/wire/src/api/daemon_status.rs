//! The state of a daemon.

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

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonStatus {
    /// Its name.
    pub daemon: DaemonName,
    /// Its incarnation.
    pub incarnation: IncarnationNumber,
    /// The zone that it runs in.
    pub zone: ZoneName,
    /// How far it is in its life.
    pub phase: DaemonPhase,
    /// The revision of the configuration in force.
    pub revision: ConfigRevision,
    /// Whether its last call to the store was answered.
    pub store_reachable: bool,
    /// The cells that it owns.
    pub cells: Vec<OwnedCell>,
    /// The cells of the whole system that no listed worker belongs to.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub empty_cells: Vec<CellNumber>,
    /// The members that it knows, itself not among them.
    pub members: Vec<MemberStatus>,
    /// The zones of the document in force.
    pub zones: Vec<ZoneStatus>,
    /// The services of the document in force.
    pub services: Vec<ServiceStatus>,
    /// The queues of its cells.
    pub queues: Vec<QueueStatus>,
    /// Workers of its cells beside which requests were measured.
    #[serde(default)]
    pub pressures: Vec<WorkerPressure>,
}
