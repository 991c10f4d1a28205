//! Load of a cell.

use serde::Deserialize;
use serde::Serialize;

use crate::division::ServiceRoom;
use crate::spec::JobSpec;

/// Load of a cell, which its owner tells the other daemons.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellLoad {
    /// Room for each service that has usable workers in the cell.
    pub rooms: Vec<ServiceRoom>,
}

impl CellLoad {
    /// Room for the tasks of a service; `None` if the cell has no usable worker of it.
    #[must_use]
    pub fn room(&self, service: &str) -> Option<&ServiceRoom> {
        self.rooms.iter().find(|room| *room.service == *service)
    }

    /// Room for a job in a service, if every step of the job can run in the cell.
    #[must_use]
    pub fn room_for(&self, spec: &JobSpec, service: &str) -> Option<&ServiceRoom> {
        let room = self.room(service)?;
        let can_host = spec.steps.iter().all(|step| room.can_host(step));
        can_host.then_some(room)
    }
}
