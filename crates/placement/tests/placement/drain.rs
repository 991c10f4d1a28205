//! Tests of draining a zone.

use sapphirestile_core::MonoTime;
use sapphirestile_placement::DrainStep;
use sapphirestile_placement::DrainTask;
use sapphirestile_placement::LinkPacer;
use sapphirestile_placement::drain_order;

const TASK: DrainTask = DrainTask {
    unsaved_cpu_us: 100_000_000,
    checkpoint_bytes: 10_000_000,
    remaining_ms: None,
    urgent: false,
};

#[test]
fn tasks_with_the_most_work_saved_per_byte_are_moved_first() {
    let tasks = [
        DrainTask {
            checkpoint_bytes: 50_000_000,
            ..TASK
        },
        DrainTask {
            unsaved_cpu_us: 1_000,
            ..TASK
        },
        DrainTask {
            unsaved_cpu_us: 400_000_000,
            ..TASK
        },
        DrainTask {
            remaining_ms: Some(60_000),
            ..TASK
        },
        DrainTask {
            urgent: true,
            ..TASK
        },
        DrainTask {
            remaining_ms: Some(100_000),
            ..TASK
        },
    ];
    assert_eq!(
        drain_order(&tasks, 120_000),
        [
            DrainStep::Move { index: 4 },
            DrainStep::Move { index: 2 },
            DrainStep::Move { index: 5 },
            DrainStep::Move { index: 0 },
            DrainStep::Restart { index: 1 },
            DrainStep::LetFinish { index: 3 },
        ]
    );
}

#[test]
fn transfers_stay_within_the_rate_limit() {
    let mut pacer = LinkPacer::new(2_000_000, 4_000_000);
    let admitted = (0..120)
        .filter(|second| pacer.admit(10_000_000, MonoTime::from_millis(second * 1_000)))
        .collect::<Vec<_>>();
    assert_eq!(admitted.len(), 24);
    assert_eq!(admitted[..3], [0, 5, 10]);
}
