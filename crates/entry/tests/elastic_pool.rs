//! Threads that carry calls while others are busy.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use sapphirestile_entry::ElasticPool;

/// Ends a test that has gone wrong.
const PATIENCE: Duration = Duration::from_secs(20);

/// Has a call carried out that says so, and then waits until the sender is dropped.
fn run_held(pool: &ElasticPool, begun: &Sender<u32>, number: u32) -> Sender<()> {
    let (hold, released): (Sender<()>, Receiver<()>) = channel();
    let begun = begun.clone();
    pool.run(move || {
        begun.send(number).unwrap();
        // It ends when the test lets go.
        let _ = released.recv();
    });
    hold
}

#[test]
fn a_call_does_not_wait_for_busy_threads() {
    let pool = ElasticPool::new("test", 8);
    let (begun, calls) = channel();
    let holds: Vec<_> = (0..4)
        .map(|number| {
            let hold = run_held(&pool, &begun, number);
            assert_eq!(calls.recv_timeout(PATIENCE), Ok(number));
            hold
        })
        .collect();
    assert_eq!(pool.threads(), 4);
    drop(holds);
}

#[test]
fn calls_beyond_the_most_threads_wait_and_are_carried_out() {
    let pool = ElasticPool::new("test", 2);
    let (begun, calls) = channel();
    let holds: Vec<_> = (0..5)
        .map(|number| run_held(&pool, &begun, number))
        .collect();
    let mut seen = [(); 2]
        .map(|()| calls.recv_timeout(PATIENCE).unwrap())
        .to_vec();
    assert_eq!(pool.threads(), 2);
    assert!(calls.try_recv().is_err(), "two are busy");
    drop(holds);
    seen.extend([(); 3].map(|()| calls.recv_timeout(PATIENCE).unwrap()));
    seen.sort_unstable();
    assert_eq!(seen, [0, 1, 2, 3, 4]);
}
