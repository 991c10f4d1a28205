//! Time within which a start may be sent.

use sapphirestile_core::MonoTime;
use sapphirestile_entry::StartWindow;

const QUEUED: MonoTime = MonoTime::from_millis(1_000);

/// The shortest suspension of a VM that matters, in milliseconds.
const SUSPENDED_MS: u64 = 1_000;

/// Guards against a start that goes out after its daemon was suspended.
#[test]
fn start_that_was_queued_before_a_suspension_is_not_sent() {
    let window = StartWindow::begin(QUEUED);
    assert!(window.is_open(QUEUED));
    assert!(!window.is_open(QUEUED.plus_millis(SUSPENDED_MS)));
}
