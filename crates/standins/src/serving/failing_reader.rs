//! A reader that always fails.

use std::io::ErrorKind;
use std::io::Read;

/// Fails every read with [`ErrorKind::BrokenPipe`]. As the end of a response body, it makes
/// the server close the connection before the response is complete.
pub(super) struct FailingReader;

impl Read for FailingReader {
    fn read(&mut self, _buffer: &mut [u8]) -> std::io::Result<usize> {
        Err(ErrorKind::BrokenPipe.into())
    }
}
