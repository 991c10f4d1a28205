//! A handle to the actor of a cell.

use std::time::Duration;

use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

use crate::cells::CellDump;
use crate::cells::CellEvent;
use sapphirestile_core::CellEpoch;

const DUMP_TIMEOUT: Duration = Duration::from_secs(2);

/// A handle to the actor of a cell, for other threads.
#[derive(Clone, Debug)]
pub struct CellHandle {
    /// The epoch of this daemon's claim of the cell.
    pub epoch: CellEpoch,
    /// Sends events to the actor. Sending fails once the actor has ended.
    pub events: Sender<CellEvent>,
}

impl CellHandle {
    /// Returns the actor's state; `None` when the actor has ended or does not answer within
    /// 2 s.
    #[must_use]
    pub fn dump(&self) -> Option<CellDump> {
        let (reply, answers) = bounded(1);
        self.events.send(CellEvent::Dump(reply)).ok()?;
        answers.recv_timeout(DUMP_TIMEOUT).ok()
    }
}
