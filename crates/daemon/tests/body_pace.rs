//! Bodies that arrive slowly.

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

const WHOLE_MAX_MS: u64 = 60_000;

/// A body of which some bytes arrive each second.
struct SlowBody<'c> {
    clock: &'c Cell<u64>,
    bytes_a_second: usize,
    arrived: usize,
    left: usize,
}

impl<'c> SlowBody<'c> {
    fn new(clock: &'c Cell<u64>, bytes_a_second: usize, length: usize) -> Self {
        Self {
            clock,
            bytes_a_second,
            arrived: 0,
            left: length,
        }
    }
}

impl Read for SlowBody<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> Result<usize> {
        if self.arrived == 0 && self.left > 0 {
            self.clock.set(self.clock.get() + 1_000);
            self.arrived = self.bytes_a_second.min(self.left);
            self.left -= self.arrived;
        }
        let length = self.arrived.min(buffer.len());
        self.arrived -= length;
        Ok(length)
    }
}

fn begin() -> MinTransferRate {
    MinTransferRate::start(MonoTime::from_millis(0), WHOLE_MAX_MS)
}

#[test_case(0, 10_000, true; "nothing within the grace")]
#[test_case(0, 10_001, false; "nothing after the grace")]
#[test_case(40_964, 10_001, true; "the least rate")]
#[test_case(40_963, 10_001, false; "less than the least rate")]
#[test_case(u64::MAX, 60_000, true; "fast within the whole time")]
#[test_case(u64::MAX, 60_001, false; "fast beyond the whole time")]
fn a_pace_is_kept_or_not(bytes: u64, elapsed_ms: u64, expected: bool) {
    let mut pace = begin();
    pace.add_bytes(bytes);
    assert_eq!(pace.is_met(MonoTime::from_millis(elapsed_ms)), expected);
}

#[test_case(1, 100, Err(BodyError::TooSlow); "a byte now and then")]
#[test_case(5_000, 100_000, Ok(100_000); "above the least rate")]
#[test_case(5_000, 400_000, Err(BodyError::TooSlow); "longer than the whole time")]
#[test_case(100, 1_000, Ok(1_000); "short and slow within the grace")]
fn a_slow_body_is_read_as_long_as_it_keeps_the_pace(
    bytes_a_second: usize,
    length: usize,
    expected: std::result::Result<usize, BodyError>,
) {
    let clock = Cell::new(0);
    let body = SlowBody::new(&clock, bytes_a_second, length);
    let mut reader = RateCheckedReader::new(body, begin(), || MonoTime::from_millis(clock.get()));
    let read = read_body(&mut reader, usize::MAX);
    assert_eq!(read.map(|body| body.len()), expected);
}

#[test]
fn a_body_that_fell_behind_is_read_no_further() {
    let clock = Cell::new(WHOLE_MAX_MS);
    let body = SlowBody::new(&clock, 1, 100);
    let mut reader = RateCheckedReader::new(body, begin(), || MonoTime::from_millis(clock.get()));
    for _ in 0..2 {
        let error = reader.read(&mut [0; 8]).unwrap_err();
        assert_eq!(error.kind(), ErrorKind::TimedOut);
    }
    assert_eq!(clock.get(), WHOLE_MAX_MS + 1_000, "it was read once");
}
