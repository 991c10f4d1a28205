//! A worker as the list shows it.

use std::net::SocketAddr;

use sapphirestile_core::WorkerName;
use sapphirestile_core::ZoneName;

use crate::order::TaskSize;

/// A worker as the list shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// The name.
    pub name: WorkerName,
    /// The service that it works for.
    pub service: Box<str>,
    /// Where it is reached.
    pub address: SocketAddr,
    /// The availability zone.
    pub zone: ZoneName,
    /// The kind of machine and the rack.
    pub labels: Vec<Box<str>>,
    /// What it has room for.
    pub capacity: TaskSize,
    /// Whether it is about to leave.
    pub is_leaving: bool,
    /// When this life began, in milliseconds of the Unix epoch.
    pub life_unix_ms: u64,
}
