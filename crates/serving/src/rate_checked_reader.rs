//! Reader that enforces a minimum transfer rate.

use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;

use crate::MinTransferRate;
use sapphirestile_core::MonoTime;

/// Reads a body. Once the body falls behind its minimum rate, this and all later reads
/// fail with [`ErrorKind::TimedOut`].
///
/// # Examples
///
/// ```
/// use std::io::Read;
///
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_serving::MinTransferRate;
/// use sapphirestile_serving::RateCheckedReader;
///
/// let start = MonoTime::from_millis(0);
/// let rate = MinTransferRate::start(start, 1_000);
/// let mut reader = RateCheckedReader::new(&b"chest"[..], rate, move || start);
/// let mut body = String::new();
/// reader.read_to_string(&mut body).unwrap();
/// assert_eq!(body, "chest");
/// ```
#[derive(Debug)]
pub struct RateCheckedReader<R, C> {
    body: R,
    rate: MinTransferRate,
    clock: C,
    has_failed: bool,
}

impl<R, C> RateCheckedReader<R, C> {
    /// Creates a reader of `body` that takes the time from `clock`.
    pub const fn new(body: R, rate: MinTransferRate, clock: C) -> Self {
        Self {
            body,
            rate,
            clock,
            has_failed: false,
        }
    }
}

impl<R: Read, C: Fn() -> MonoTime> Read for RateCheckedReader<R, C> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        if self.has_failed {
            return Err(too_slow());
        }
        let read = self.body.read(buffer).map_err(timed_out);
        let length = read.inspect_err(|_| self.has_failed = true)?;
        self.rate.add_bytes(length as u64);
        // The end of the body is never too late.
        if length == 0 || self.rate.is_met((self.clock)()) {
            return Ok(length);
        }
        self.has_failed = true;
        Err(too_slow())
    }
}

/// Maps timeouts to one kind: a blocking read that times out reports a different kind
/// on each operating system.
fn timed_out(error: Error) -> Error {
    match error.kind() {
        ErrorKind::WouldBlock | ErrorKind::TimedOut => too_slow(),
        _ => error,
    }
}

fn too_slow() -> Error {
    Error::new(
        ErrorKind::TimedOut,
        "request body is below the minimum transfer rate or exceeds its timeout",
    )
}
