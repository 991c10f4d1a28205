//! Tests the thread pool with blocked calls.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use sapphirestile_entry::ElasticPool;

/// Fails a test that blocks.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs a call that reports its number and then blocks until the returned sender is
/// dropped.
fn run_blocked(pool: &ElasticPool, started: &Sender<u32>, number: u32) -> Sender<()> {
    let (blocker, released): (Sender<()>, Receiver<()>) = channel();
    let started = started.clone();
    pool.run(move || {
        started.send(number).unwrap();
        // Returns once the test drops the sender.
        let _ = released.recv();
    });
    blocker
}

#[test]
fn a_call_gets_a_new_thread_when_all_are_busy() {
    let pool = ElasticPool::new("test", 8);
    let (started, calls) = channel();
    let blockers: Vec<_> = (0..4)
        .map(|number| {
            let blocker = run_blocked(&pool, &started, number);
            assert_eq!(calls.recv_timeout(TEST_TIMEOUT), Ok(number));
            blocker
        })
        .collect();
    assert_eq!(pool.threads(), 4);
    drop(blockers);
}

#[test]
fn calls_beyond_the_thread_limit_are_queued_and_run() {
    let pool = ElasticPool::new("test", 2);
    let (started, calls) = channel();
    let blockers: Vec<_> = (0..5)
        .map(|number| run_blocked(&pool, &started, number))
        .collect();
    let mut seen = [(); 2]
        .map(|()| calls.recv_timeout(TEST_TIMEOUT).unwrap())
        .to_vec();
    assert_eq!(pool.threads(), 2);
    assert!(
        calls.try_recv().is_err(),
        "a third call ran although both threads are busy"
    );
    drop(blockers);
    seen.extend([(); 3].map(|()| calls.recv_timeout(TEST_TIMEOUT).unwrap()));
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3, 4]);
}
