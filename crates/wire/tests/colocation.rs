//! Tests of the messages about runners and workers on the same machine.

use test_case::test_case;

use sapphirestile_core::CellNumber;
use sapphirestile_core::DaemonName;
use sapphirestile_core::IncarnationNumber;
use sapphirestile_core::WorkerName;
use sapphirestile_wire::peer::FrameKey;
use sapphirestile_wire::peer::PeerDatagram;
use sapphirestile_wire::peer::PeerFrame;
use sapphirestile_wire::peer::SlowdownReport;
use sapphirestile_wire::peer::WorkerSlowdown;
use sapphirestile_wire::vms::SharedWorker;
use sapphirestile_wire::vms::VmRecord;

const NAME_LENGTH_MAX: usize = 63;
/// The payload that a 1,500-byte link leaves after the IP and UDP headers.
const DATAGRAM_BYTES_MAX: usize = 1_452;

fn list(worker: &str) -> Vec<VmRecord> {
    let text = format!(
        r#"[{{"name": "r1", "kind": "runner", "address": "127.0.0.1:1", "zone": "a",
            "service": "sizing", "state": "live"{worker}}}]"#
    );
    serde_json::from_str(&text).unwrap()
}

#[test]
fn a_runner_record_names_its_worker() {
    let records = list(r#", "worker": "w1""#);
    assert_eq!(records[0].worker.name().unwrap().as_str(), "w1");
    let again = serde_json::to_string(&records).unwrap();
    assert_eq!(
        serde_json::from_str::<Vec<VmRecord>>(&again).unwrap(),
        records
    );
}

#[test_case(""; "the field is absent")]
#[test_case(r#", "worker": null"#; "the field is null")]
fn a_runner_without_a_worker_decodes_as_unknown(worker: &str) {
    let records = list(worker);
    assert_eq!(records[0].worker, SharedWorker::Unknown);
    assert!(!serde_json::to_string(&records).unwrap().contains("worker"));
}

#[test_case(r#", "worker": "W 1""#; "an invalid name")]
#[test_case(r#", "worker": """#; "an empty name")]
#[test_case(r#", "worker": 7"#; "a number")]
#[test_case(r#", "worker": ["w1"]"#; "a list")]
#[test_case(r#", "worker": {"name": "w1"}"#; "an object")]
fn an_invalid_worker_does_not_fail_the_list(worker: &str) {
    let records = list(worker);
    assert!(
        matches!(&records[0].worker, SharedWorker::Invalid(reason) if !reason.is_empty()),
        "expected an invalid worker, got {:?}",
        records[0].worker
    );
}

#[test]
fn the_largest_slowdown_report_fits_a_datagram() {
    let name = "w".repeat(NAME_LENGTH_MAX);
    let row = WorkerSlowdown {
        worker: WorkerName::try_from(name.as_str()).unwrap(),
        slowdown_permille: u32::MAX,
        requests: u32::MAX,
        age_ms: u32::MAX,
    };
    let report = SlowdownReport {
        cell: CellNumber::new(u16::MAX),
        rows: vec![row; SlowdownReport::ROWS_MAX],
    };
    let frame = PeerFrame {
        sender: DaemonName::try_from(name.as_str()).unwrap(),
        incarnation: IncarnationNumber::new(u64::MAX),
        call: u64::MAX,
        body: PeerDatagram::Slowdowns(report),
    };
    let sealed = FrameKey::new(b"a secret of all daemons")
        .seal(&frame)
        .unwrap();
    assert!(
        sealed.len() <= DATAGRAM_BYTES_MAX,
        "sealed frame: {} bytes",
        sealed.len()
    );
}
