//! Tests of the life cycle of a request.

use std::sync::Arc;

use sapphirestile_core::CellEpoch;
use sapphirestile_core::JournalSequence;
use sapphirestile_core::MonoTime;
use sapphirestile_core::OperatorDocument;
use sapphirestile_core::RequestKey;
use sapphirestile_core::RunnerName;
use sapphirestile_core::ServiceName;
use sapphirestile_core::ZoneName;
use sapphirestile_routing::PendingReleases;
use sapphirestile_routing::RecordProof;
use sapphirestile_routing::RequestAttributes;
use sapphirestile_routing::RequestCycle;
use sapphirestile_routing::RetryBudget;
use sapphirestile_routing::RouteChoice;
use sapphirestile_routing::RouteQuery;
use sapphirestile_routing::RouteRefusal;
use sapphirestile_routing::RoutingTable;
use sapphirestile_routing::RunnerGauge;
use sapphirestile_routing::RunnerRow;

fn table(gauge: &Arc<RunnerGauge>) -> RoutingTable {
    let text = "[region r]\nlink_mbit = 1\n[zone a]\nregion = r\nstate = in\n";
    let document = OperatorDocument::try_from(text).unwrap();
    let row = RunnerRow {
        runner: RunnerName::try_from("runner-1").unwrap(),
        zone: ZoneName::try_from("a").unwrap(),
        address: "127.0.0.1:8080".parse().unwrap(),
        service: ServiceName::try_from("permits").unwrap(),
        leaving: false,
        gauge: Arc::clone(gauge),
    };
    RoutingTable::new(&document, "a", vec![row])
}

fn choice(gauge: &Arc<RunnerGauge>) -> RouteChoice {
    let query = RouteQuery {
        service: "permits",
        avoid: None,
        now: MonoTime::from_millis(0),
        deadline: MonoTime::from_millis(100),
        random: 1,
    };
    table(gauge).choose(&query).unwrap()
}

fn gauge() -> Arc<RunnerGauge> {
    let gauge = Arc::new(RunnerGauge::new());
    gauge.add_tokens(1);
    gauge
}

fn attributes(idempotent: bool) -> RequestAttributes {
    RequestAttributes {
        idempotent,
        key: Some(RequestKey::try_from("permit-9").unwrap()),
        deadline: MonoTime::from_millis(100),
    }
}

fn proof(key: &str) -> RecordProof {
    let key = RequestKey::try_from(key).unwrap();
    RecordProof::committed(key, CellEpoch::new(1), JournalSequence::new(2))
}

#[test]
fn an_answered_request_releases_its_slot() {
    let gauge = gauge();
    let admitted = RequestCycle::receive(attributes(true)).admit(choice(&gauge));
    let sent = admitted.send().unwrap();
    assert_eq!(gauge.in_flight(), 1);
    let answered = sent.answer(1_500);
    assert_eq!(answered.attempts(), 1);
    assert_eq!((gauge.in_flight(), gauge.latency_us()), (0, 1_500));
}

#[test]
fn a_non_idempotent_request_is_not_sent_without_a_record() {
    let gauge = gauge();
    let admitted = RequestCycle::receive(attributes(false)).admit(choice(&gauge));
    let unsent = admitted.send().unwrap_err();
    assert!(unsent.needs_record());
    let sent = unsent.with_record(proof("permit-9")).send().unwrap();
    assert_eq!(sent.row().runner.as_str(), "runner-1");
}

#[test]
#[should_panic(expected = "the record is of another request")]
fn a_record_of_another_request_panics() {
    let gauge = gauge();
    let admitted = RequestCycle::receive(attributes(false)).admit(choice(&gauge));
    drop(admitted.with_record(proof("permit-8")));
}

#[test]
fn a_request_that_is_refused_before_it_is_sent_releases_its_slot() {
    let gauge = gauge();
    let admitted = RequestCycle::receive(attributes(false)).admit(choice(&gauge));
    let not_run = admitted.refuse(RouteRefusal::NoRecord);
    assert_eq!(not_run.refusal(), RouteRefusal::NoRecord);
    assert_eq!(gauge.in_flight(), 0);
}

#[test]
fn an_unknown_outcome_keeps_the_slot_taken_until_its_release_time() {
    let gauge = gauge();
    let admitted = RequestCycle::receive(attributes(true)).admit(choice(&gauge));
    let unknown = admitted.send().unwrap().mark_unknown();
    let mut releases = PendingReleases::default();
    releases.push(unknown.release_at(MonoTime::from_millis(500)));
    assert_eq!((gauge.in_flight(), gauge.failures()), (1, 1));
    assert_eq!(releases.release_due(MonoTime::from_millis(499)), 0);
    assert_eq!(gauge.in_flight(), 1);
    assert_eq!(releases.release_due(MonoTime::from_millis(500)), 1);
    assert_eq!(gauge.in_flight(), 0);
}

#[test]
fn a_sent_request_that_is_dropped_keeps_its_slot_taken() {
    let gauge = gauge();
    let admitted = RequestCycle::receive(attributes(true)).admit(choice(&gauge));
    drop(admitted.send().unwrap());
    assert_eq!(gauge.in_flight(), 1);
}

fn budget() -> RetryBudget {
    let budget = RetryBudget::new(1_000, 1);
    budget.earn();
    budget
}

#[test]
fn an_idempotent_request_with_unknown_outcome_is_retried_within_the_budget() {
    let gauge = gauge();
    let budget = budget();
    let unknown_outcome = |gauge| {
        let admitted = RequestCycle::receive(attributes(true)).admit(choice(gauge));
        admitted.send().unwrap().mark_unknown()
    };
    let retried = unknown_outcome(&gauge).retry(&budget, MonoTime::from_millis(500));
    let retried = retried.unwrap();
    assert_eq!(retried.cycle.attempts(), 1);
    assert_eq!(gauge.in_flight(), 1);
    assert!(retried.slot.release(MonoTime::from_millis(500)).is_ok());
    assert!(
        unknown_outcome(&gauge)
            .retry(&budget, MonoTime::from_millis(500))
            .is_err()
    );
}

#[test]
fn a_non_idempotent_request_is_never_hedged_or_retried_after_an_unknown_outcome() {
    let gauge = gauge();
    let budget = budget();
    let admitted = RequestCycle::receive(attributes(false)).admit(choice(&gauge));
    let sent = admitted.with_record(proof("permit-9")).send().unwrap();
    assert!(sent.hedge(&budget).is_none());
    let retried = sent
        .mark_unknown()
        .retry(&budget, MonoTime::from_millis(500));
    assert!(retried.is_err());
    assert!(budget.spend());
}

#[test]
fn a_declined_request_is_sent_again_with_the_same_record() {
    let gauge = gauge();
    let admitted = RequestCycle::receive(attributes(false)).admit(choice(&gauge));
    let sent = admitted.with_record(proof("permit-9")).send().unwrap();
    let declined = sent.mark_declined();
    assert_eq!(gauge.in_flight(), 0);
    let readmitted = declined.retry(&budget()).unwrap().admit(choice(&gauge));
    assert_eq!(readmitted.send().unwrap().attempts(), 2);
}

#[test]
fn an_idempotent_request_is_hedged_within_the_budget() {
    let gauge = gauge();
    let budget = budget();
    let admitted = RequestCycle::receive(attributes(true)).admit(choice(&gauge));
    let sent = admitted.send().unwrap();
    assert_eq!(sent.hedge_after_us(), 2_000);
    assert!(sent.hedge(&budget).is_some());
    assert!(sent.hedge(&budget).is_none());
}
