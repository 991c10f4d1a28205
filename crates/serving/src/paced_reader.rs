//! A body that has to arrive fast enough.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;

use crate::TransferPace;
use sapphirestile_core::MonoTime;

/// Reads a body and fails with [`ErrorKind::TimedOut`] once it falls behind its
/// pace, and ever after.
///
/// # Examples
///
/// ```
/// use std::io::Read;
///
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_serving::PacedReader;
/// use sapphirestile_serving::TransferPace;
///
/// let start = MonoTime::from_millis(0);
/// let pace = TransferPace::begin(start, 1_000);
/// let mut reader = PacedReader::new(&b"chest"[..], pace, move || start);
/// let mut body = String::new();
/// reader.read_to_string(&mut body).unwrap();
/// assert_eq!(body, "chest");
/// ```
#[derive(Debug)]
pub struct PacedReader<R, C> {
    body: R,
    pace: TransferPace,
    clock: C,
    has_failed: bool,
}

impl<R, C> PacedReader<R, C> {
    /// A reader of `body` that reads the time from `clock`.
    pub const fn new(body: R, pace: TransferPace, clock: C) -> Self {
        Self {
            body,
            pace,
            clock,
            has_failed: false,
        }
    }
}

impl<R: Read, C: Fn() -> MonoTime> Read for PacedReader<R, C> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        if self.has_failed {
            return Err(too_slow());
        }
        let read = self.body.read(buffer).map_err(timed_out);
        let length = read.inspect_err(|_| self.has_failed = true)?;
        self.pace.add_bytes(length as u64);
        // A body that has come to its end is late for nothing.
        if length == 0 || self.pace.is_kept((self.clock)()) {
            return Ok(length);
        }
        self.has_failed = true;
        Err(too_slow())
    }
}

/// A read that waited in vain has another kind on each system.
fn timed_out(error: Error) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => too_slow(),
        _ => error,
    }
}

fn too_slow() -> Error {
    Error::new(ErrorKind::TimedOut, "the body arrives too slowly")
}
