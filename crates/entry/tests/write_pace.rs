//! Pace of writes that anybody can cause.

use std::time::Duration;

use sapphirestile_core::MonoTime;
use sapphirestile_entry::WritePace;

/// Guards against a store that many cancellations of unknown jobs keep from all else.
#[test]
fn a_flood_of_writes_gets_fifty_turns_a_second() {
    let pace = WritePace::default();
    let seconds = 10;
    let mut turns = 0;
    for millisecond in 0..1_000 * seconds {
        let now = MonoTime::from_millis(5_000 + millisecond);
        for _ in 0..3 {
            turns += u64::from(pace.take_turn(now).is_some());
        }
    }
    let burst = 25;
    assert!(
        (50 * seconds..=50 * seconds + burst + 1).contains(&turns),
        "{turns}"
    );
}

/// Guards against a caller that waits for its turn until its time is up.
#[test]
fn a_turn_that_would_take_too_long_is_refused_at_once() {
    let pace = WritePace::default();
    let now = MonoTime::from_millis(5_000);
    let turns: Vec<Option<Duration>> = (0..40).map(|_| pace.take_turn(now)).collect();
    assert_eq!(turns[25], Some(Duration::from_millis(500)));
    assert!(turns[26..].iter().all(Option::is_none));
    let later = MonoTime::from_millis(6_000);
    assert_eq!(pace.take_turn(later), Some(Duration::ZERO));
}
