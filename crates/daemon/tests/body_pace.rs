//! The minimum rate at which the body of a request must arrive.

use std::cell::Cell;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;

use test_case::test_case;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::serving::BodyError;
use sapphirestile_daemon::serving::MinTransferRate;
use sapphirestile_daemon::serving::RateCheckedReader;
use sapphirestile_daemon::serving::read_body;

const BODY_MAX_MS: u64 = 60_000;

/// A body of which `bytes_per_second` bytes arrive each second of the clock.
struct SlowBody<'c> {
    clock: &'c Cell<u64>,
    bytes_per_second: usize,
    available: usize,
    remaining: usize,
}

impl<'c> SlowBody<'c> {
    fn new(clock: &'c Cell<u64>, bytes_per_second: usize, length: usize) -> Self {
        Self {
            clock,
            bytes_per_second,
            available: 0,
            remaining: length,
        }
    }
}

impl Read for SlowBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        if self.available == 0 && self.remaining > 0 {
            self.clock.set(self.clock.get() + 1_000);
            self.available = self.bytes_per_second.min(self.remaining);
            self.remaining -= self.available;
        }
        let length = self.available.min(buffer.len());
        self.available -= length;
        Ok(length)
    }
}

fn start_rate() -> MinTransferRate {
    MinTransferRate::start(MonoTime::from_millis(0), BODY_MAX_MS)
}

#[test_case(0, 10_000, true; "nothing within the grace period")]
#[test_case(0, 10_001, false; "nothing after the grace period")]
#[test_case(40_964, 10_001, true; "the minimum rate")]
#[test_case(40_963, 10_001, false; "less than the minimum rate")]
#[test_case(u64::MAX, 60_000, true; "fast within the time limit")]
#[test_case(u64::MAX, 60_001, false; "fast beyond the time limit")]
fn the_minimum_rate_applies_after_the_grace_period(bytes: u64, elapsed_ms: u64, expected: bool) {
    let mut rate = start_rate();
    rate.add_bytes(bytes);
    assert_eq!(rate.is_met(MonoTime::from_millis(elapsed_ms)), expected);
}

#[test_case(1, 100, Err(BodyError::TooSlow); "a byte now and then")]
#[test_case(5_000, 100_000, Ok(100_000); "above the minimum rate")]
#[test_case(5_000, 400_000, Err(BodyError::TooSlow); "longer than the time limit")]
#[test_case(100, 1_000, Ok(1_000); "short and slow within the grace period")]
fn a_slow_body_is_read_while_it_meets_the_minimum_rate(
    bytes_per_second: usize,
    length: usize,
    expected: std::result::Result<usize, BodyError>,
) {
    let clock = Cell::new(0);
    let body = SlowBody::new(&clock, bytes_per_second, length);
    let mut reader =
        RateCheckedReader::new(body, start_rate(), || MonoTime::from_millis(clock.get()));
    let read = read_body(&mut reader, usize::MAX);
    assert_eq!(read.map(|body| body.len()), expected);
}

#[test]
fn a_body_below_the_minimum_rate_is_not_read_further() {
    let clock = Cell::new(BODY_MAX_MS);
    let body = SlowBody::new(&clock, 1, 100);
    let mut reader =
        RateCheckedReader::new(body, start_rate(), || MonoTime::from_millis(clock.get()));
    for _ in 0..2 {
        let error = reader.read(&mut [0; 8]).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::TimedOut);
    }
    assert_eq!(clock.get(), BODY_MAX_MS + 1_000, "it was read once");
}
