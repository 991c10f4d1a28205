//! Pauses of the process, and requests that waited meanwhile.

use sapphirestile_core::MonoTime;
use sapphirestile_serving::PauseWatch;
use test_case::test_case;

fn at(milliseconds: u64) -> MonoTime {
    MonoTime::from_millis(milliseconds)
}

/// A watch that ticked every 250 ms from 250 to 2,000 ms.
fn running_watch() -> PauseWatch {
    let watch = PauseWatch::default();
    for tick in 1..=8 {
        assert_eq!(watch.tick(at(tick * 250)), None);
    }
    watch
}

#[test]
fn request_arrives_when_it_is_read_while_the_process_runs() {
    let watch = running_watch();
    assert_eq!(watch.earliest_arrival(at(2_900)), at(2_900));
}

/// Guards against a request that is handled although its caller has stopped waiting: it is read
/// before or after the first tick that follows a pause.
#[test_case(false; "before the first tick")]
#[test_case(true; "after the first tick")]
fn request_that_is_read_after_a_pause_may_have_arrived_at_its_start(has_ticked: bool) {
    let watch = running_watch();
    if has_ticked {
        assert_eq!(watch.tick(at(6_000)), Some(4_000));
    }
    assert_eq!(watch.earliest_arrival(at(6_100)), at(2_000));
}

#[test]
fn request_long_after_a_pause_arrives_when_it_is_read() {
    let watch = running_watch();
    for time in [6_000, 6_250, 6_500, 6_750] {
        watch.tick(at(time));
    }
    assert_eq!(watch.earliest_arrival(at(6_800)), at(6_800));
}
