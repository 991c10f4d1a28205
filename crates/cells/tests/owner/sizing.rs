//! What running tasks teach of sizes.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::WORKER;
use crate::owner_bench::sighting;
use sapphirestile_cells::SightedPhase;
use sapphirestile_core::ResourceSize;

#[test]
fn a_task_seen_to_use_nearly_a_whole_worker_is_still_given_one() {
    let mut bench = OwnerBench::new();
    bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let mut running = sighting("spins", 1, SightedPhase::Running, 0);
    running.usage = ResourceSize {
        cpu_milli: 900,
        memory_mb: 15_900,
        accelerators: 0,
    };
    bench.renew(&[("w1", running)]);
    bench.renew(&[]);
    bench.plan();
    let batch = bench.take();
    let begun = crate::owner_bench::starts(bench.done(&batch));
    assert_eq!(begun[0].size.memory_mb, WORKER.memory_mb);
}

#[test]
fn what_a_throttled_task_uses_is_not_learnt() {
    let mut bench = OwnerBench::new();
    let first = bench.run("spins", 1);
    bench.owner.start_answered("w1");
    let mut running = sighting("spins", 1, SightedPhase::Running, 0);
    running.throttle_cpu_milli = Some(300);
    running.usage = ResourceSize {
        cpu_milli: 300,
        memory_mb: 15_900,
        accelerators: 0,
    };
    bench.renew(&[("w1", running)]);
    bench.renew(&[]);
    bench.plan();
    let batch = bench.take();
    let begun = crate::owner_bench::starts(bench.done(&batch));
    assert_eq!(begun[0].size, first[0].size);
}
