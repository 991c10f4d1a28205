//! The place of one request in its line.

use std::time::Duration;

use crossbeam::channel::Receiver;

use crate::callers::WaitingRoom;
use sapphirestile_routing::RouteRefusal;

/// The place of one request in the line of its service.
///
/// Once it ends, its entry no longer stands in line, and a wake that its request
/// has no use for is passed on to the next.
#[derive(Debug)]
pub struct WaitingTurn<'w> {
    room: &'w WaitingRoom,
    service: &'w str,
    number: u64,
    woken: Receiver<()>,
}

impl<'w> WaitingTurn<'w> {
    pub(super) const fn new(
        room: &'w WaitingRoom,
        service: &'w str,
        number: u64,
        woken: Receiver<()>,
    ) -> Self {
        Self {
            room,
            service,
            number,
            woken,
        }
    }

    pub(super) fn wait(&self, left: Duration) -> Result<(), RouteRefusal> {
        // An entry that was shed is dropped, and its thread hears of that here.
        match self.woken.recv_timeout(left) {
            Ok(()) => Ok(()),
            Err(error) if error.is_timeout() => Err(RouteRefusal::DeadlinePassed),
            Err(_) => Err(RouteRefusal::Shed),
        }
    }
}

impl Drop for WaitingTurn<'_> {
    fn drop(&mut self) {
        if self.room.leave(self.service, self.number, &self.woken) {
            self.room.wake_one(self.service);
        }
    }
}
