//! Model checks of all interleavings of taking and releasing slots and moving tokens.

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

/// A runner with one slot that panics if it gets two requests at a time.
struct SingleSlotRunner(AtomicU32);

impl SingleSlotRunner {
    fn run(&self) {
        let before = self.0.fetch_add(1, Ordering::SeqCst);
        assert_eq!(
            before, 0,
            "a runner with one slot got two requests at a time"
        );
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

fn send_request(row: &Arc<RunnerRow>, runner: &SingleSlotRunner) {
    if let Some(slot) = SlotGuard::take(row) {
        runner.run();
        drop(slot);
    }
}

#[test]
fn two_requests_never_use_one_token_at_the_same_time() {
    loom::model(|| {
        let (row, runner) = (row(), Arc::new(SingleSlotRunner(AtomicU32::new(0))));
        row.gauge.add_tokens(1);
        let (other_row, other_runner) = (Arc::clone(&row), Arc::clone(&runner));
        let other = thread::spawn(move || send_request(&other_row, &other_runner));
        send_request(&row, &runner);
        other.join().unwrap();
        assert_eq!(row.gauge.occupancy(), (1, 0));
    });
}

#[test]
fn a_token_that_is_handed_over_is_used_by_one_daemon_only() {
    loom::model(|| {
        let (sender, receiver) = (row(), row());
        let runner = Arc::new(SingleSlotRunner(AtomicU32::new(0)));
        sender.gauge.add_tokens(1);
        let (from, to) = (Arc::clone(&sender), Arc::clone(&receiver));
        let handover = thread::spawn(move || {
            let count = from.gauge.remove_free_tokens(1);
            to.gauge.add_tokens(count);
        });
        let (sending_row, sending_runner) = (Arc::clone(&sender), Arc::clone(&runner));
        let request = thread::spawn(move || send_request(&sending_row, &sending_runner));
        send_request(&receiver, &runner);
        handover.join().unwrap();
        request.join().unwrap();
        let tokens = sender.gauge.tokens() + receiver.gauge.tokens();
        assert_eq!(tokens, 1);
        assert_eq!(sender.gauge.in_flight() + receiver.gauge.in_flight(), 0);
    });
}

#[test]
fn two_removals_never_remove_the_same_token() {
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
