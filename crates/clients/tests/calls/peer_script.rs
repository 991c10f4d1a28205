//! What a scripted peer does with one request.

use std::sync::mpsc::Receiver;

/// What a scripted peer does with one request.
pub enum PeerScript {
    /// Writes these bytes and waits for the next request.
    Answer(Vec<u8>),
    /// Writes these bytes and closes the connection.
    AnswerAndClose(Vec<u8>),
    /// Waits for a signal, writes these bytes and closes the connection.
    AnswerLate(Receiver<()>, Vec<u8>),
}

impl PeerScript {
    /// Writes a text and waits for the next request.
    pub fn answer(text: &str) -> Self {
        Self::Answer(text.into())
    }

    /// Writes a text and closes the connection.
    pub fn last(text: &str) -> Self {
        Self::AnswerAndClose(text.into())
    }
}
