//! Property test: invariants of a worker under random sequences of calls.

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::worker_harness::LEASE_MS;
use crate::worker_harness::WorkerHarness;
use sapphirestile_core::MonoTime;
use sapphirestile_standins::worker::HistoryEntry;
use sapphirestile_wire::worker::TaskStart;

const SEED: u64 = 20_261_204;

/// The maximum age of the last renewal when an attempt is started, in milliseconds.
const PERMIT_AGE_MAX_MS: u64 = 3_000;

/// One step of a random sequence: a call to the worker, or a wait.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// Waits for this many milliseconds.
    Wait(u64),
    /// Renews the session under this epoch, which later calls use too.
    Renew(u64),
    /// Starts an attempt: task index, attempt number and run time in milliseconds.
    Start(u32, u32, u64),
    /// Sends an earlier start again, given by its index.
    Repeat(usize),
    /// Stops an attempt: task index and attempt number.
    Stop(u32, u32),
    /// Throttles the first attempt of a task: task index and CPU limit in thousandths of a core.
    Throttle(u32, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_000_u64).prop_map(Step::Wait),
        Just(Step::Wait(10)),
        (1..4_u64).prop_map(Step::Renew),
        (0..6_u32, 1..4_u32, 0..8_000_u64)
            .prop_map(|(task, attempt, run)| { Step::Start(task, attempt, run) }),
        (0..50_usize).prop_map(Step::Repeat),
        (0..6_u32, 1..4_u32).prop_map(|(task, attempt)| Step::Stop(task, attempt)),
        (0..6_u32, 0..1_000_u64).prop_map(|(task, cpu)| Step::Throttle(task, cpu)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn attempts_of_a_task_never_overlap_and_starts_need_a_fresh_permit(steps in vec(step(), 1..80)) {
        let mut harness = WorkerHarness::new();
        let mut now = 0;
        let mut highest = 0;
        let mut renewed = None;
        let mut starts: Vec<TaskStart> = Vec::new();
        for step in steps {
            let history_length = harness.state.history().len();
            match step {
                Step::Wait(millis) => now += millis,
                Step::Renew(epoch) => {
                    harness.epoch = epoch;
                    assert_eq!(harness.renew(now, &[0, 1, 2]).is_ok(), epoch >= highest);
                    if epoch >= highest {
                        highest = epoch;
                        renewed = Some(now);
                    }
                }
                Step::Start(task, attempt, run_ms) => {
                    let start = harness.task_start(task, attempt, run_ms);
                    let _ = harness.start(now, &start);
                    starts.push(start);
                }
                Step::Repeat(index) => {
                    if let Some(start) = starts.get(index) {
                        let _ = harness.start(now, &start.clone());
                    }
                }
                Step::Stop(task, attempt) => drop(harness.stop(now, task, attempt, true)),
                Step::Throttle(task, cpu_milli) => drop(harness.throttle(now, task, cpu_milli)),
            }
            harness.state.advance(MonoTime::from_millis(now));
            if harness.state.history().len() > history_length {
                assert!(renewed.is_some_and(|renewed| now - renewed <= PERMIT_AGE_MAX_MS));
            }
        }
        check_history(harness.state.history());
        harness.state.advance(MonoTime::from_millis(now + LEASE_MS));
        assert!(harness.state.history().iter().all(|entry| entry.ended.is_some()));
    }
}

/// Asserts that attempts of the same task never overlap.
fn check_history(history: &[HistoryEntry]) {
    for (index, entry) in history.iter().enumerate() {
        for later in &history[index + 1..] {
            let is_disjoint = entry.ended.is_some_and(|ended| ended <= later.started);
            assert!(
                entry.task != later.task || is_disjoint,
                "{entry:?} overlaps {later:?}"
            );
        }
    }
}
