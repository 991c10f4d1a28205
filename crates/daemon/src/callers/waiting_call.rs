//! What stands in line for a request.

use crossbeam::channel::Sender;

/// What stands in line for a request: its number, and the way to wake its thread.
#[derive(Debug)]
pub(super) struct WaitingCall {
    /// The number of the entry, which no other has.
    pub number: u64,
    /// Wakes the thread; dropped when the entry is shed.
    pub wake: Sender<()>,
}
