//! One step of a scripted peer.

use std::sync::Arc;
use std::sync::Barrier;
use std::sync::mpsc::Receiver;
use std::time::Duration;

/// How a scripted peer responds to one request.
pub enum PeerScript {
    /// Writes these bytes and waits for the next request.
    Respond(Vec<u8>),
    /// Writes these bytes and closes the connection.
    RespondAndClose(Vec<u8>),
    /// Waits for a signal, writes these bytes and closes the connection.
    RespondLate(Receiver<()>, Vec<u8>),
    /// Waits for the other requests at the barrier, writes these bytes and waits for the next
    /// request.
    RespondTogether(Arc<Barrier>, Vec<u8>),
    /// Writes these bytes in parts, with a pause before each, and waits for the next
    /// request.
    RespondSlowly(Vec<u8>, usize, Duration),
}

impl PeerScript {
    /// Writes `text` and waits for the next request.
    pub fn respond(text: &str) -> Self {
        Self::Respond(text.into())
    }

    /// Writes `text` and closes the connection.
    pub fn respond_and_close(text: &str) -> Self {
        Self::RespondAndClose(text.into())
    }
}
