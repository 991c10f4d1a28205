//! The place of one request in its line.

use std::time::Duration;

use crossbeam::channel::Receiver;

use crate::callers::WaitingRoom;
use sapphirestile_routing::RouteRefusal;

/// The place of one request in the line of its service.
///
/// A wake that its request has no use for is passed on to the next in line.
#[derive(Debug)]
pub struct WaitingTurn<'w> {
    room: &'w WaitingRoom,
    service: &'w str,
    woken: Option<Receiver<()>>,
}

impl<'w> WaitingTurn<'w> {
    pub(super) const fn new(room: &'w WaitingRoom, service: &'w str, woken: Receiver<()>) -> Self {
        Self {
            room,
            service,
            woken: Some(woken),
        }
    }

    pub(super) fn wait(&self, left: Duration) -> Result<(), RouteRefusal> {
        let Some(woken) = &self.woken else {
            return Err(RouteRefusal::Shed);
        };
        // An entry that was shed is dropped, and its thread hears of that here.
        match woken.recv_timeout(left) {
            Ok(()) => Ok(()),
            Err(error) if error.is_timeout() => Err(RouteRefusal::DeadlinePassed),
            Err(_) => Err(RouteRefusal::Shed),
        }
    }
}

impl Drop for WaitingTurn<'_> {
    fn drop(&mut self) {
        let woken = self.woken.take();
        if woken.is_some_and(|woken| self.room.leave(woken)) {
            self.room.wake_one(self.service);
        }
    }
}
