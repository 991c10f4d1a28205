//! Requests that wait in the service queues while slots are released.

use std::cell::Cell;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::thread;

use sapphirestile_core::MonoTime;
use sapphirestile_daemon::callers::ServiceQueues;
use sapphirestile_daemon::callers::WaitParameters;
use sapphirestile_daemon::context::MonoClock;
use sapphirestile_routing::RequestPriority;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::WaitEstimate;
use sapphirestile_test_support::wait_until;

const ESTIMATE: WaitEstimate = WaitEstimate {
    slots: 1,
    service_us: 0,
};

fn parameters(service: &str, deadline_ms: u64) -> WaitParameters<'_> {
    WaitParameters {
        service,
        priority: RequestPriority::Standard,
        deadline: MonoTime::from_millis(deadline_ms),
    }
}

#[test]
fn a_slot_released_before_the_request_is_queued_is_found() {
    let (queues, clock) = (ServiceQueues::default(), MonoClock::start());
    let free = Cell::new(false);

    let found = queues.wait_for(
        &parameters("sizing", 300),
        &clock,
        || ESTIMATE,
        || {
            let found = free.replace(true).then_some("slot");
            // Another request releases its slot just after this attempt.
            queues.wake_one("sizing");
            Ok(found)
        },
    );

    assert_eq!(found, Ok("slot"));
}

#[test]
fn a_wake_reaches_only_the_queue_of_its_service() {
    let (queues, clock) = (ServiceQueues::default(), MonoClock::start());
    let attempts = Cell::new(0);

    let found = queues.wait_for(
        &parameters("sizing", 50),
        &clock,
        || ESTIMATE,
        || {
            attempts.set(attempts.get() + 1);
            queues.wake_one("colours");
            Ok((attempts.get() > 2).then_some("another's slot"))
        },
    );

    assert_eq!(found, Err(RouteRefusal::DeadlinePassed));
    assert_eq!(attempts.get(), 2);
}

#[test]
fn an_unused_wake_is_passed_on() {
    let (queues, clock) = (ServiceQueues::default(), MonoClock::start());
    let (outer, inner) = (Cell::new(0), Cell::new(0));

    // The inner request is first in the queue and is woken, but finds a slot before it
    // receives the wake-up.
    let found = queues.wait_for(
        &parameters("sizing", 1_000),
        &clock,
        || ESTIMATE,
        || {
            outer.set(outer.get() + 1);
            if outer.get() == 2 {
                let early = parameters("sizing", 500);
                let slot = queues.wait_for(
                    &early,
                    &clock,
                    || ESTIMATE,
                    || {
                        inner.set(inner.get() + 1);
                        if inner.get() < 2 {
                            return Ok(None);
                        }
                        queues.wake_one("sizing");
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
fn a_request_that_found_a_slot_leaves_the_queue() {
    let (queues, clock) = (ServiceQueues::default(), MonoClock::start());
    let attempts = Cell::new(0);

    // The second attempt finds the slot without a wake-up.
    let found = queues.wait_for(
        &parameters("sizing", 60_000),
        &clock,
        || ESTIMATE,
        || {
            attempts.set(attempts.get() + 1);
            Ok((attempts.get() == 2).then_some("slot"))
        },
    );

    assert_eq!(found, Ok("slot"));
    assert!(
        queues.is_empty(),
        "{} requests are still queued",
        queues.len()
    );
}

#[test]
fn a_request_whose_deadline_has_passed_leaves_the_queue() {
    let (queues, clock) = (ServiceQueues::default(), MonoClock::start());
    for _ in 0..3 {
        let refused = queues.wait_for(
            &parameters("sizing", 20),
            &clock,
            || ESTIMATE,
            || Ok(None::<()>),
        );
        assert_eq!(refused, Err(RouteRefusal::DeadlinePassed));
    }
    assert!(
        queues.is_empty(),
        "{} requests are still queued",
        queues.len()
    );
}

/// When another daemon hands over tokens, each free slot wakes one request of its service.
#[test]
fn free_slots_wake_as_many_requests() {
    let (queues, clock) = (ServiceQueues::default(), MonoClock::start());
    let (sizing, colours) = (AtomicU32::new(0), AtomicU32::new(0));
    let take = |slots: &AtomicU32| {
        let take = |free: u32| free.checked_sub(1);
        let taken = slots.fetch_update(Ordering::AcqRel, Ordering::Acquire, take);
        Ok(taken.ok())
    };

    thread::scope(|scope| {
        for (service, slots) in [("sizing", &sizing), ("colours", &colours)] {
            for _ in 0..3 {
                let (queues, clock) = (&queues, &clock);
                scope.spawn(move || {
                    let parameters = parameters(service, 60_000);
                    let found = queues.wait_for(&parameters, clock, || ESTIMATE, || take(slots));
                    assert!(found.is_ok(), "{found:?}");
                });
            }
        }
        wait_until("all wait", || (queues.len() == 6).then_some(()));
        sizing.store(2, Ordering::Release);
        queues.wake_many("sizing", 2);
        wait_until("two are served", || {
            (queues.len() == 4 && sizing.load(Ordering::Acquire) == 0).then_some(())
        });
        sizing.store(1, Ordering::Release);
        colours.store(3, Ordering::Release);
        queues.wake_many("sizing", 5);
        queues.wake_many("colours", 3);
        wait_until("all are served", || queues.is_empty().then_some(()));
    });
    assert_eq!(colours.load(Ordering::Acquire), 0);
}
