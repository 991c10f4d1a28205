//! How other threads reach a keeper.

use std::time::Duration;

use crossbeam::channel::Sender;
use crossbeam::channel::bounded;

use crate::cells::KeeperDump;
use crate::cells::KeeperEvent;
use sapphirestile_core::CellEpoch;

const DUMP_WAIT: Duration = Duration::from_secs(2);

/// How other threads reach a keeper.
#[derive(Clone, Debug)]
pub struct KeeperHandle {
    /// The epoch of its claim.
    pub epoch: CellEpoch,
    /// Its events.
    pub events: Sender<KeeperEvent>,
}

impl KeeperHandle {
    /// The keeper's state; nothing when it has just ended.
    #[must_use]
    pub fn dump(&self) -> Option<KeeperDump> {
        let (reply, answers) = bounded(1);
        self.events.send(KeeperEvent::Dump(reply)).ok()?;
        answers.recv_timeout(DUMP_WAIT).ok()
    }
}
