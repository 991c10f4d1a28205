//! Every interleaving of taking, giving back and handing over slots.

use std::sync::Arc;

use loom::sync::atomic::AtomicU32;
use loom::sync::atomic::Ordering;
use loom::thread;

use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;
use sapphirestile_routing::SlotGuard;

/// A runner with one slot that says so when it gets more work.
struct BusyRunner(AtomicU32);

impl BusyRunner {
    fn work(&self) {
        let before = self.0.fetch_add(1, Ordering::SeqCst);
        assert_eq!(before, 0, "a runner with one slot got two requests");
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn row() -> Arc<RunnerRow> {
    Arc::new(RunnerRow {
        runner: RunnerName::try_from("runner-1").unwrap(),
        zone: ZoneName::try_from("a").unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        service: ServiceName::try_from("sizing").unwrap(),
        leaving: false,
        gauge: Arc::new(RunnerGauge::new()),
    })
}

fn request(row: &Arc<RunnerRow>, runner: &BusyRunner) {
    if let Some(slot) = SlotGuard::take(row) {
        runner.work();
        drop(slot);
    }
}

#[test]
fn two_requests_share_one_token() {
    loom::model(|| {
        let (row, runner) = (row(), Arc::new(BusyRunner(AtomicU32::new(0))));
        row.gauge.add_tokens(1);
        let (other_row, other_runner) = (Arc::clone(&row), Arc::clone(&runner));
        let other = thread::spawn(move || request(&other_row, &other_runner));
        request(&row, &runner);
        other.join().unwrap();
        assert_eq!(row.gauge.occupancy(), (1, 0));
    });
}

#[test]
fn a_token_handed_over_is_used_on_one_side_only() {
    loom::model(|| {
        let (giver, taker) = (row(), row());
        let runner = Arc::new(BusyRunner(AtomicU32::new(0)));
        giver.gauge.add_tokens(1);
        let (from, to) = (Arc::clone(&giver), Arc::clone(&taker));
        let handover = thread::spawn(move || {
            let count = from.gauge.remove_free_tokens(1);
            to.gauge.add_tokens(count);
        });
        let (near, near_runner) = (Arc::clone(&giver), Arc::clone(&runner));
        let near = thread::spawn(move || request(&near, &near_runner));
        request(&taker, &runner);
        handover.join().unwrap();
        near.join().unwrap();
        let tokens = giver.gauge.tokens() + taker.gauge.tokens();
        assert_eq!(tokens, 1);
        assert_eq!(giver.gauge.in_flight() + taker.gauge.in_flight(), 0);
    });
}

#[test]
fn two_removals_never_take_the_same_token() {
    loom::model(|| {
        let row = row();
        row.gauge.add_tokens(2);
        let other_row = Arc::clone(&row);
        let other = thread::spawn(move || other_row.gauge.remove_free_tokens(2));
        let slot = SlotGuard::take(&row);
        let count = row.gauge.remove_free_tokens(2);
        let removed = count + other.join().unwrap();
        let held = u32::from(slot.is_some());
        assert_eq!(row.gauge.occupancy(), (2 - removed, held));
        assert!(removed + held <= 2, "{removed} removed, {held} held");
    });
}
