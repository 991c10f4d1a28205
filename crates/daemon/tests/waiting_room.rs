//! Requests that wait for slots, and slots that come free meanwhile.

use std::cell::Cell;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::callers::WaitingRoom;
use sapphirestile_daemon::callers::WaitingWish;
use sapphirestile_daemon::context::MonoClock;
use sapphirestile_routing::RequestPriority;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;

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
