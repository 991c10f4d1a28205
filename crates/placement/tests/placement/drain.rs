//! Scenes of a zone that leaves and returns.

use sapphirestile_core::MonoTime;
use sapphirestile_placement::DrainStep;
use sapphirestile_placement::DrainTask;
use sapphirestile_placement::LinkPacer;
use sapphirestile_placement::drain_order;

const TASK: DrainTask = DrainTask {
    unsaved_work: 100_000_000,
    checkpoint_bytes: 10_000_000,
    remaining_ms: None,
    urgent: false,
};

#[test]
fn dearest_to_lose_and_cheapest_to_move_goes_first() {
    let tasks = [
        DrainTask {
            checkpoint_bytes: 50_000_000,
            ..TASK
        },
        DrainTask {
            unsaved_work: 1_000,
            ..TASK
        },
        DrainTask {
            unsaved_work: 400_000_000,
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
            DrainStep::Move { place: 4 },
            DrainStep::Move { place: 2 },
            DrainStep::Move { place: 5 },
            DrainStep::Move { place: 0 },
            DrainStep::Restart { place: 1 },
            DrainStep::LetFinish { place: 3 },
        ]
    );
}

#[test]
fn checkpoints_stay_within_their_part_of_the_link() {
    let mut pacer = LinkPacer::new(2_000_000, 4_000_000);
    let admitted = (0..120)
        .filter(|second| pacer.admit(10_000_000, MonoTime::from_millis(second * 1_000)))
        .collect::<Vec<_>>();
    assert_eq!(admitted.len(), 24);
    assert_eq!(admitted[..3], [0, 5, 10]);
}
