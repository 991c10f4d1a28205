//! Tests of the conversions between a cell owner's types and the bodies of worker calls.

use sapphirestile_cells::ReportChanges;
use sapphirestile_cells::ReportMark;
use sapphirestile_cells::ReportedPhase;
use sapphirestile_cells::SessionRenewal;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::WorkerName;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;

const REPORT: &str = r#"{"permit":9,"incarnation":4,"base":8,"count":2,
    "tasks":[{"task":{"job":"sizes","index":3},"attempt":2,"phase":"failed","checkpoint_ms":70,
    "usage":{"cpu_milli":700,"memory_mb":64,"accelerators":1},"usage_age_ms":5,
    "throttle_cpu_milli":300}],"gone":[{"task":{"job":"sizes","index":1},"attempt":6}]}"#;

#[test]
fn a_session_report_converts_to_changes() {
    let report: SessionReport = serde_json::from_str(REPORT).expect("a valid body");
    let changes = ReportChanges::from(report.clone());

    assert_eq!(changes.mark.incarnation, report.incarnation);
    assert_eq!(changes.mark.permit, 9);
    assert_eq!(changes.base, Some(8));
    assert_eq!(changes.count, 2);
    let [attempt] = changes.changed.as_slice() else {
        panic!("expected one changed attempt: {changes:?}");
    };
    assert_eq!(attempt.task, report.tasks[0].task);
    assert_eq!(attempt.attempt, report.tasks[0].attempt);
    assert_eq!(attempt.phase, ReportedPhase::Failed);
    assert_eq!(attempt.checkpoint_ms, 70);
    assert_eq!(attempt.usage, report.tasks[0].usage);
    assert_eq!(attempt.throttle_cpu_milli, Some(300));
    let [gone] = changes.gone.as_slice() else {
        panic!("expected one forgotten attempt: {changes:?}");
    };
    assert_eq!(gone.task, report.gone[0].task);
    assert_eq!(gone.attempt, report.gone[0].attempt);
}

#[test]
fn a_session_request_names_settled_attempts_and_the_known_report() {
    let report: SessionReport = serde_json::from_str(REPORT).expect("a valid body");
    let ended = &report.gone[0];
    let renewal = SessionRenewal {
        worker: WorkerName::try_from("collie").expect("a valid name"),
        epoch: CellEpoch::new(7),
        ordinal: 3,
        settled: vec![(ended.task.clone(), ended.attempt)],
        known: Some(ReportMark {
            incarnation: IncarnationNumber::new(4),
            permit: 8,
        }),
    };
    let request = SessionRequest::of(CellNumber::new(5), &renewal, 60_000);

    let body = serde_json::to_string(&request).expect("a session request can be encoded");
    assert_eq!(
        body,
        r#"{"cell":5,"epoch":7,"lease_ms":60000,"settled":[{"task":{"job":"sizes","index":1},"attempt":6}],"known":{"incarnation":4,"permit":8}}"#
    );
}
