//! Urgent work that finds every worker full.

use crate::owner_bench::OwnerBench;
use crate::owner_bench::order;
use crate::owner_bench::starts;
use sapphirestile_cells::JobOrder;
use sapphirestile_cells::SightedPhase;
use sapphirestile_cells::StartOrder;
use sapphirestile_cells::TaskSighting;
use sapphirestile_core::ResourceSize;

/// What both workers report of the tasks started on them, in one phase each.
fn reports<'s>(
    begun: &'s [StartOrder],
    phase_of: impl Fn(&StartOrder) -> SightedPhase,
) -> Vec<(&'s str, TaskSighting)> {
    let report = |start: &'s StartOrder| {
        let sighting = TaskSighting {
            task: start.task.clone(),
            attempt: start.attempt,
            phase: phase_of(start),
            checkpoint_ms: 7_000,
            usage: ResourceSize::default(),
            throttle_cpu_milli: None,
        };
        (start.worker.as_str(), sighting)
    };
    begun.iter().map(report).collect()
}

fn answer_starts(bench: &mut OwnerBench, begun: &[StartOrder]) {
    for start in begun {
        bench.owner.start_answered(start.worker.as_str());
    }
}

#[test]
fn one_task_of_the_backlog_makes_room_and_waits_from_its_checkpoint() {
    let mut bench = OwnerBench::new();
    let begun = bench.run("backlog", 16);
    assert_eq!(begun.len(), 16, "both workers are full");
    answer_starts(&mut bench, &begun);
    bench.renew(&reports(&begun, |_| SightedPhase::Running));

    let urgent = JobOrder {
        urgent: true,
        ..order("storm", 1)
    };
    bench.owner.submit_job(&urgent).unwrap();
    bench.plan();
    bench.commit();
    let stops = bench.stops();
    assert_eq!(stops.len(), 1);
    assert!(stops[0].checkpoint);
    bench.plan();
    assert!(bench.stops().is_empty(), "room is being made already");
    assert_eq!(bench.owner.evictions(), 1);

    let stopped = stops[0].task.clone();
    bench.renew(&reports(&begun, |start| {
        if start.task == stopped {
            SightedPhase::Stopped
        } else {
            SightedPhase::Running
        }
    }));
    bench.plan();
    let next = starts(bench.commit());
    assert_eq!(next.len(), 1, "the worker is kept for the urgent task");
    assert_eq!(next[0].task.to_string(), "storm/0");
    assert_eq!(next[0].worker, stops[0].worker);

    // The one that made room goes on from its checkpoint when there is room again.
    answer_starts(&mut bench, &next);
    let mut shown = reports(&begun, |_| SightedPhase::Finished);
    shown.retain(|(_, sighting)| sighting.task != stopped);
    shown.extend(reports(&next, |_| SightedPhase::Running));
    bench.renew(&shown);
    bench.plan();
    let again = starts(bench.commit());
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].task, stopped);
    assert_eq!((again[0].attempt.get(), again[0].checkpoint_ms), (2, 7_000));
}

#[test]
fn a_stop_that_was_lost_is_asked_for_again() {
    let mut bench = OwnerBench::new();
    let begun = bench.run("backlog", 16);
    answer_starts(&mut bench, &begun);
    let urgent = JobOrder {
        urgent: true,
        ..order("storm", 1)
    };
    bench.owner.submit_job(&urgent).unwrap();
    bench.renew(&reports(&begun, |_| SightedPhase::Running));
    bench.plan();
    bench.commit();
    let first = bench.stops();
    bench.renew(&reports(&begun, |_| SightedPhase::Running));
    assert_eq!(bench.stops(), first);
    assert_eq!(bench.owner.evictions(), 1, "it counts once");
}
