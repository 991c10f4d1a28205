//! Tests of this daemon's share of the link between regions.

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::callers::LinkShare;
use sapphirestile_routing::RequestPriority;

/// At this rate 1,000 bytes take 2 ms.
const BITS_PER_SECOND: u64 = 4_000_000;
const BULK: RequestPriority = RequestPriority::Bulk;

fn share() -> LinkShare {
    let share = LinkShare::default();
    share.set_bandwidth(BITS_PER_SECOND);
    share
}

fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

#[test]
fn large_answers_delay_later_requests() {
    let share = share();
    let reservation = share
        .admit(400, 400, BULK, at(0))
        .expect("an idle link should admit a request");
    reservation.settle(100_000, at(100));
    assert!(share.admit(400, 400, BULK, at(200)).is_none());
    assert!(share.admit(400, 400, BULK, at(300)).is_some());
}

#[test]
fn an_attempt_that_was_not_run_releases_the_bytes_of_its_answer() {
    let share = share();
    let reservation = share.admit(400, 100_000, BULK, at(0));
    assert!(share.admit(400, 400, BULK, at(0)).is_none());
    drop(reservation);
    assert!(share.admit(400, 400, BULK, at(0)).is_some());
}

#[test]
fn an_answer_that_may_still_arrive_stays_counted() {
    let share = share();
    let reservation = share.admit(400, 100_000, BULK, at(0));
    reservation
        .expect("an idle link should admit a request")
        .keep();
    assert!(share.admit(400, 400, BULK, at(0)).is_none());
}

#[test]
fn a_refused_request_does_not_count_its_answer() {
    let share = share();
    // The request alone is too large for bulk priority.
    assert!(share.admit(10_000, 100_000, BULK, at(0)).is_none());
    assert!(share.admit(400, 400, BULK, at(0)).is_some());
}
