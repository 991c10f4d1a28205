//! Requests that wait for slots, and slots that come free meanwhile.

use std::cell::Cell;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::callers::WaitingRoom;
use sapphirestile_daemon::callers::WaitingWish;
use sapphirestile_daemon::context::MonoClock;
use sapphirestile_routing::RequestPriority;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;
use sapphirestile_test_support::wait_until;

const ESTIMATE: WaitEstimate = WaitEstimate {
    slots: 1,
    service_us: 0,
};

fn wish(service: &str, deadline_ms: u64) -> WaitingWish<'_> {
    WaitingWish {
        service,
        priority: RequestPriority::Standard,
        deadline: MonoTime::from_millis(deadline_ms),
    }
}

#[test]
fn a_slot_that_comes_free_between_look_and_line_is_found() {
    let (room, clock) = (WaitingRoom::default(), MonoClock::start());
    let free = Cell::new(false);

    let found = room.until(
        &wish("sizing", 300),
        &clock,
        || ESTIMATE,
        || {
            let found = free.replace(true).then_some("slot");
            // Another leaves its slot just after this look.
            room.wake_one("sizing");
            Ok(found)
        },
    );

    assert_eq!(found, Ok("slot"));
}

#[test]
fn a_wake_goes_to_the_line_of_its_own_service() {
    let (room, clock) = (WaitingRoom::default(), MonoClock::start());
    let looks = Cell::new(0);

    let found = room.until(
        &wish("sizing", 50),
        &clock,
        || ESTIMATE,
        || {
            looks.set(looks.get() + 1);
            room.wake_one("colours");
            Ok((looks.get() > 2).then_some("another's slot"))
        },
    );

    assert_eq!(found, Err(RouteRefusal::DeadlinePassed));
    assert_eq!(looks.get(), 2);
}

#[test]
fn a_wake_in_vain_is_passed_on() {
    let (room, clock) = (WaitingRoom::default(), MonoClock::start());
    let (outer, inner) = (Cell::new(0), Cell::new(0));

    // The inner request is first in line and woken, and finds a slot without it.
    let found = room.until(
        &wish("sizing", 1_000),
        &clock,
        || ESTIMATE,
        || {
            outer.set(outer.get() + 1);
            if outer.get() == 2 {
                let early = wish("sizing", 500);
                let slot = room.until(
                    &early,
                    &clock,
                    || ESTIMATE,
                    || {
                        inner.set(inner.get() + 1);
                        if inner.get() < 2 {
                            return Ok(None);
                        }
                        room.wake_one("sizing");
                        Ok(Some("own slot"))
                    },
                );
                assert_eq!(slot, Ok("own slot"));
            }
            Ok((outer.get() == 3).then_some("passed on"))
        },
    );

    assert_eq!(found, Ok("passed on"));
}

#[test]
fn a_request_that_found_a_slot_in_line_no_longer_stands_in_it() {
    let (room, clock) = (WaitingRoom::default(), MonoClock::start());
    let looks = Cell::new(0);

    // Without a wake: the slot is there at the second look.
    let found = room.until(
        &wish("sizing", 60_000),
        &clock,
        || ESTIMATE,
        || {
            looks.set(looks.get() + 1);
            Ok((looks.get() == 2).then_some("slot"))
        },
    );

    assert_eq!(found, Ok("slot"));
    assert!(room.is_empty(), "{} stand in line", room.len());
}

#[test]
fn a_request_whose_deadline_has_passed_no_longer_stands_in_line() {
    let (room, clock) = (WaitingRoom::default(), MonoClock::start());
    for _ in 0..3 {
        let refused = room.until(&wish("sizing", 20), &clock, || ESTIMATE, || Ok(None::<()>));
        assert_eq!(refused, Err(RouteRefusal::DeadlinePassed));
    }
    assert!(room.is_empty(), "{} stand in line", room.len());
}

/// Tokens that were handed over wake as many as they have room for, in the line of
/// their service.
#[test]
fn free_slots_wake_as_many_as_there_are() {
    let (room, clock) = (WaitingRoom::default(), MonoClock::start());
    let (sizing, colours) = (AtomicU32::new(0), AtomicU32::new(0));
    let take = |slots: &AtomicU32| {
        let take = |free: u32| free.checked_sub(1);
        let taken = slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, take);
        Ok(taken.ok())
    };

    thread::scope(|scope| {
        for (service, slots) in [("sizing", &sizing), ("colours", &colours)] {
            for _ in 0..3 {
                let (room, clock) = (&room, &clock);
                scope.spawn(move || {
                    let wish = wish(service, 60_000);
                    let found = room.until(&wish, clock, || ESTIMATE, || take(slots));
                    assert!(found.is_ok(), "{found:?}");
                });
            }
        }
        wait_until("all wait", || (room.len() == 6).then_some(()));
        sizing.store(2, Ordering::Release);
        room.wake_free("sizing", 2);
        wait_until("two are served", || {
            (room.len() == 4 && sizing.load(Ordering::Acquire) == 0).then_some(())
        });
        sizing.store(1, Ordering::Release);
        colours.store(3, Ordering::Release);
        room.wake_free("sizing", 5);
        room.wake_free("colours", 3);
        wait_until("all are served", || room.is_empty().then_some(()));
    });
    assert_eq!(colours.load(Ordering::Acquire), 0);
}
