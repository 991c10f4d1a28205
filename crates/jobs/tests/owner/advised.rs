//! Queues whose steps only some workers may run, as an advisor says.

use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobOrder;
use sapphirestile_jobs::StartOutcome;

use crate::owner_scene::OwnerScene;
use crate::scene_parts::ended;
use crate::scene_parts::name;
use crate::scene_parts::order;
use crate::scene_parts::step;
use crate::scene_parts::worker;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const OTHER: &str = "bbbbbbbbbbbbbbbb";
const VALIDITY_MS: u64 = 3_000;

fn advised(tasks: u32) -> JobOrder {
    JobOrder {
        queue: "advised".into(),
        ..order(vec![step(tasks, 1_000)])
    }
}

fn scene() -> OwnerScene {
    OwnerScene::with_workers(vec![worker("w-1", 2_000), worker("w-2", 2_000)])
}

/// The advisor says that one worker of those named may run the step.
fn say_good(scene: &mut OwnerScene, good: &str, ticket: &str) {
    let outcome = AdviceOutcome::Given {
        good: vec![(name(good), ticket.into())],
        validity_ms: VALIDITY_MS,
    };
    say(scene, &outcome);
}

fn say(scene: &mut OwnerScene, outcome: &AdviceOutcome) {
    let question = scene.question.take().expect("the advisor was asked");
    let now = scene.time();
    scene.owner.advice_answered(&question, outcome, now);
}

#[test]
fn a_start_carries_the_ticket_of_its_worker() {
    let mut scene = scene();
    scene.accept(JOB, advised(1));
    assert_eq!(scene.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-2 w-1"]);
    assert!(scene.batch().is_none(), "nothing is assigned without leave");
    say_good(&mut scene, "w-1", "c81e");
    assert_eq!(scene.step(), [""; 0]);
    assert_eq!(scene.store(), [format!("start {TASK}#1 at w-1 with c81e")]);
}

#[test]
fn a_worker_that_may_not_is_never_asked_about_again() {
    let mut scene = scene();
    scene.accept(JOB, advised(3));
    scene.step();
    say_good(&mut scene, "w-1", "c81e");
    scene.step();
    let lines = scene.store();
    assert_eq!(lines.len(), 2, "two have room at w-1: {lines:?}");
    scene.wait(1_000);
    assert!(scene.question.is_none(), "w-2 may not, w-1 is full");
}

#[test]
fn one_question_is_under_way_at_a_time() {
    let mut scene = scene();
    scene.accept(JOB, advised(1));
    scene.accept(OTHER, advised(1));
    assert_eq!(scene.step().len(), 1);
    assert_eq!(scene.wait(100), [""; 0]);
    say_good(&mut scene, "w-1", "c81e");
    assert_eq!(scene.step(), ["ask bbbbbbbbbbbbbbbb.0.0 about w-1 w-2"]);
}

#[test]
fn an_advisor_without_an_answer_is_asked_again_a_little_later() {
    for outcome in [AdviceOutcome::Busy, AdviceOutcome::Unknown] {
        let mut scene = scene();
        scene.accept(JOB, advised(1));
        scene.step();
        say(&mut scene, &outcome);
        assert_eq!(scene.wait(100), [""; 0]);
        assert_eq!(scene.wait(150).len(), 1);
    }
}

#[test]
fn a_ticket_that_ended_is_asked_for_again() {
    let mut scene = scene();
    scene.accept(JOB, advised(1));
    scene.step();
    say_good(&mut scene, "w-1", "c81e");
    scene.step();
    scene.store();
    scene.started("w-1", TASK, 1, StartOutcome::Accepted);
    scene.wait(VALIDITY_MS / 2);
    let failed = [ended(1, TASK, 1, EndKind::Failed)];
    scene.answer("w-1", &[], &failed);
    scene.answer("w-2", &[], &[]);
    scene.step();
    assert_eq!(
        scene.store(),
        [format!("start {TASK}#2 at w-1 with c81e")],
        "the ticket still holds"
    );
    scene.started("w-1", TASK, 2, StartOutcome::TooLate);
    scene.now += VALIDITY_MS;
    scene.answer("w-1", &[], &[]);
    scene.answer("w-2", &[], &[]);
    assert_eq!(scene.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-1"]);
}

#[test]
fn a_refused_ticket_is_asked_for_again_and_the_worker_stays_trusted() {
    let mut scene = scene();
    scene.accept(JOB, advised(1));
    scene.step();
    for round in 0..4 {
        say_good(&mut scene, "w-1", &format!("ticket-{round}"));
        scene.step();
        scene.store();
        scene.started("w-1", TASK, round + 1, StartOutcome::NoTicket);
        assert_eq!(scene.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-1"]);
    }
}

#[test]
fn a_ticket_is_for_one_life_of_its_worker() {
    let mut scene = scene();
    scene.accept(JOB, advised(1));
    scene.step();
    say_good(&mut scene, "w-1", "c81e");
    scene.answer_in_life("w-1", 2, &[], &[]);
    assert_eq!(scene.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-1"]);
}
