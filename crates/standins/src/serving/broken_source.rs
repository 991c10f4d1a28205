//! A source that breaks off.

use std::io::ErrorKind;
use std::io::Read;

/// Fails at the first read.
pub(super) struct BrokenSource;

impl Read for BrokenSource {
    fn read(&mut self, _buffer: &mut [u8]) -> std::io::Result<usize> {
        Err(ErrorKind::BrokenPipe.into())
    }
}
