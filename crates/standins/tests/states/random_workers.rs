//! Random calls to a worker: what must hold whatever the order.

use proptest::collection::vec;
use proptest::prelude::Just;
use proptest::prelude::ProptestConfig;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::proptest;
use proptest::test_runner::RngSeed;

use crate::worker_bench::LEASE_MS;
use crate::worker_bench::WorkerBench;
use sapphirestile_core::MonoTime;
use sapphirestile_standins::worker::HistoryEntry;
use sapphirestile_wire::worker::TaskStart;

const SEED: u64 = 20_261_204;

/// The oldest moment of a renewal that a start may rest on, in milliseconds.
const PERMIT_AGE_MS: u64 = 3_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Wait(u64),
    Renew(u64),
    Order(u32, u32, u64),
    Repeat(usize),
    Stop(u32, u32),
    Throttle(u32, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_000_u64).prop_map(Step::Wait),
        Just(Step::Wait(10)),
        (1..4_u64).prop_map(Step::Renew),
        (0..6_u32, 1..4_u32, 0..8_000_u64)
            .prop_map(|(task, attempt, run)| { Step::Order(task, attempt, run) }),
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
    fn no_task_runs_twice_and_starts_rest_on_fresh_permits(steps in vec(step(), 1..80)) {
        let mut bench = WorkerBench::new();
        let mut now = 0;
        let mut highest = 0;
        let mut renewed = None;
        let mut orders: Vec<TaskStart> = Vec::new();
        for step in steps {
            let began = bench.state.history().len();
            match step {
                Step::Wait(millis) => now += millis,
                Step::Renew(epoch) => {
                    bench.epoch = epoch;
                    assert_eq!(bench.renew(now, &[0, 1, 2]).is_ok(), epoch >= highest);
                    if epoch >= highest {
                        highest = epoch;
                        renewed = Some(now);
                    }
                }
                Step::Order(task, attempt, run_ms) => {
                    let order = bench.order(task, attempt, run_ms);
                    let _ = bench.start(now, &order);
                    orders.push(order);
                }
                Step::Repeat(place) => {
                    if let Some(order) = orders.get(place) {
                        let _ = bench.start(now, &order.clone());
                    }
                }
                Step::Stop(task, attempt) => drop(bench.stop(now, task, attempt, true)),
                Step::Throttle(task, cpu_milli) => drop(bench.throttle(now, task, cpu_milli)),
            }
            bench.state.advance(MonoTime::from_millis(now));
            if bench.state.history().len() > began {
                assert!(renewed.is_some_and(|renewed| now - renewed <= PERMIT_AGE_MS));
            }
        }
        check_history(bench.state.history());
        bench.state.advance(MonoTime::from_millis(now + LEASE_MS));
        assert!(bench.state.history().iter().all(|entry| entry.ended.is_some()));
    }
}

/// Attempts of one task never overlap.
fn check_history(history: &[HistoryEntry]) {
    for (place, entry) in history.iter().enumerate() {
        for later in &history[place + 1..] {
            let apart = entry.ended.is_some_and(|ended| ended <= later.started);
            assert!(
                entry.task != later.task || apart,
                "{entry:?} overlaps {later:?}"
            );
        }
    }
}
