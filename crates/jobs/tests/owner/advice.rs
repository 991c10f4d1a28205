//! Queues with an advisor, which decides what workers may run a step.

use sapphirestile_jobs::AdviceOutcome;
use sapphirestile_jobs::EndKind;
use sapphirestile_jobs::JobSpec;
use sapphirestile_jobs::StartOutcome;

use crate::owner_fixture::OwnerFixture;
use crate::test_values::ended;
use crate::test_values::job_spec;
use crate::test_values::step;
use crate::test_values::worker;
use crate::test_values::worker_name;

const JOB: &str = "aaaaaaaaaaaaaaaa";
const TASK: &str = "aaaaaaaaaaaaaaaa.0.0.0";
const OTHER_JOB: &str = "bbbbbbbbbbbbbbbb";
const VALIDITY_MS: u64 = 3_000;

fn advised_job(tasks: u32) -> JobSpec {
    JobSpec {
        queue: "advised".into(),
        ..job_spec(vec![step(tasks, 1_000)])
    }
}

fn fixture() -> OwnerFixture {
    OwnerFixture::with_workers(vec![worker("w-1", 2_000), worker("w-2", 2_000)])
}

/// The advisor allows only one of the workers in the request to run the step.
fn allow_worker(fixture: &mut OwnerFixture, good: &str, ticket: &str) {
    let outcome = AdviceOutcome::Answered {
        allowed: vec![(worker_name(good), ticket.into())],
        validity_ms: VALIDITY_MS,
    };
    answer_request(fixture, &outcome);
}

fn answer_request(fixture: &mut OwnerFixture, outcome: &AdviceOutcome) {
    let advice_request = fixture
        .advice_request
        .take()
        .expect("a request to the advisor is pending");
    let now = fixture.time();
    fixture
        .owner
        .handle_advice_outcome(&advice_request, outcome, now);
}

#[test]
fn start_carries_the_ticket_of_its_worker() {
    let mut fixture = fixture();
    fixture.accept(JOB, advised_job(1));
    assert_eq!(fixture.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-2 w-1"]);
    assert!(
        fixture.batch().is_none(),
        "nothing is assigned without a ticket"
    );
    allow_worker(&mut fixture, "w-1", "c81e");
    assert_eq!(fixture.step(), [""; 0]);
    assert_eq!(
        fixture.store(),
        [format!("start {TASK}#1 at w-1 with c81e")]
    );
}

#[test]
fn denied_worker_is_not_asked_about_again() {
    let mut fixture = fixture();
    fixture.accept(JOB, advised_job(3));
    fixture.step();
    allow_worker(&mut fixture, "w-1", "c81e");
    fixture.step();
    let lines = fixture.store();
    assert_eq!(lines.len(), 2, "w-1 has capacity for two tasks: {lines:?}");
    fixture.wait(1_000);
    assert!(
        fixture.advice_request.is_none(),
        "w-2 is denied and w-1 is full"
    );
}

#[test]
fn only_one_request_is_pending() {
    let mut fixture = fixture();
    fixture.accept(JOB, advised_job(1));
    fixture.accept(OTHER_JOB, advised_job(1));
    assert_eq!(fixture.step().len(), 1);
    assert_eq!(fixture.wait(100), [""; 0]);
    allow_worker(&mut fixture, "w-1", "c81e");
    assert_eq!(fixture.step(), ["ask bbbbbbbbbbbbbbbb.0.0 about w-1 w-2"]);
}

#[test]
fn failed_request_is_retried_after_a_delay() {
    for outcome in [AdviceOutcome::Busy, AdviceOutcome::Unknown] {
        let mut fixture = fixture();
        fixture.accept(JOB, advised_job(1));
        fixture.step();
        answer_request(&mut fixture, &outcome);
        assert_eq!(fixture.wait(100), [""; 0]);
        assert_eq!(fixture.wait(150).len(), 1);
    }
}

#[test]
fn expired_ticket_is_requested_again() {
    let mut fixture = fixture();
    fixture.accept(JOB, advised_job(1));
    fixture.step();
    allow_worker(&mut fixture, "w-1", "c81e");
    fixture.step();
    fixture.store();
    fixture.started("w-1", TASK, 1, StartOutcome::Accepted);
    fixture.wait(VALIDITY_MS / 2);
    let failed = [ended(1, TASK, 1, EndKind::Failed)];
    fixture.answer("w-1", &[], &failed);
    fixture.answer("w-2", &[], &[]);
    fixture.step();
    assert_eq!(
        fixture.store(),
        [format!("start {TASK}#2 at w-1 with c81e")],
        "the ticket is still valid"
    );
    fixture.started("w-1", TASK, 2, StartOutcome::TooLate);
    fixture.now += VALIDITY_MS;
    fixture.answer("w-1", &[], &[]);
    fixture.answer("w-2", &[], &[]);
    assert_eq!(fixture.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-1"]);
}

#[test]
fn rejected_ticket_is_requested_again_without_tripping_the_breaker() {
    let mut fixture = fixture();
    fixture.accept(JOB, advised_job(1));
    fixture.step();
    for round in 0..4 {
        allow_worker(&mut fixture, "w-1", &format!("ticket-{round}"));
        fixture.step();
        fixture.store();
        fixture.started("w-1", TASK, round + 1, StartOutcome::NoTicket);
        assert_eq!(fixture.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-1"]);
    }
}

#[test]
fn ticket_is_valid_for_one_worker_incarnation() {
    let mut fixture = fixture();
    fixture.accept(JOB, advised_job(1));
    fixture.step();
    allow_worker(&mut fixture, "w-1", "c81e");
    fixture.respond_as_incarnation("w-1", 2, &[], &[]);
    fixture.list_incarnation("w-1", 2);
    assert_eq!(fixture.step(), ["ask aaaaaaaaaaaaaaaa.0.0 about w-1"]);
}
