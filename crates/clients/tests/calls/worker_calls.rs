//! Tests of calls to workers and of the classification of their failures.

use std::time::Duration;

use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::worker::WorkerClient;
use sapphirestile_clients::worker::WorkerError;
use sapphirestile_core::AttemptNumber;
use sapphirestile_core::CellEpoch;
use sapphirestile_core::CellNumber;
use sapphirestile_core::JobName;
use sapphirestile_core::ResourceSize;
use sapphirestile_core::TaskIndex;
use sapphirestile_core::TaskName;
use sapphirestile_standins::worker::WorkerFaults;
use sapphirestile_standins::worker::WorkerSettings;
use sapphirestile_standins::worker::WorkerStandin;
use sapphirestile_wire::worker::SessionReport;
use sapphirestile_wire::worker::SessionRequest;
use sapphirestile_wire::worker::TaskPhase;
use sapphirestile_wire::worker::TaskStart;
use sapphirestile_wire::worker::TaskStop;
use sapphirestile_wire::worker::TaskThrottle;
use sapphirestile_wire::worker::WorkerRefusal;
use test_case::test_case;

use crate::scripted_peer::ScriptedPeer;
use crate::scripted_peer::unused_address;

const TIMEOUT: Duration = Duration::from_secs(20);
const CELL: CellNumber = CellNumber::new(1);
const EPOCH: CellEpoch = CellEpoch::new(5);
const ATTEMPT: AttemptNumber = AttemptNumber::new(1);

const LOSE_ONE: WorkerFaults = WorkerFaults {
    lose_answers: 1,
    fail_all: false,
    refuse: false,
    slow_ms: 0,
    used_size: None,
    run_permille: None,
};

fn worker() -> (WorkerStandin, WorkerClient) {
    let any_port = ([127, 0, 0, 1], 0).into();
    let standin = WorkerStandin::start(any_port, WorkerSettings::default()).unwrap();
    let peer = PeerAddress::try_from(standin.address()).unwrap();
    (standin, WorkerClient::new(peer, TIMEOUT))
}

fn task() -> TaskName {
    TaskName {
        job: JobName::try_from("patterns").unwrap(),
        index: TaskIndex::new(0),
    }
}

fn renew(client: &WorkerClient, epoch: CellEpoch) -> Result<SessionReport, WorkerError> {
    let request = SessionRequest {
        cell: CELL,
        epoch,
        lease_ms: 60_000,
        settled: Vec::new(),
        known: None,
    };
    let report = client.session(&request);
    report.map_err(|report| report.current_context().clone())
}

fn start(client: &WorkerClient, permit: u64) -> Result<(), WorkerError> {
    let start = TaskStart {
        cell: CELL,
        epoch: EPOCH,
        permit,
        task: task(),
        attempt: ATTEMPT,
        size: ResourceSize {
            cpu_milli: 1_000,
            memory_mb: 1_000,
            accelerators: 0,
        },
        run_ms: 3_600_000,
        checkpoint_ms: 0,
    };
    let done = client.start(&start);
    done.map_err(|report| report.current_context().clone())
}

#[test]
fn a_task_is_started_throttled_and_stopped() {
    let (standin, client) = worker();
    let report = renew(&client, EPOCH).unwrap();
    assert_eq!(start(&client, report.permit), Ok(()));
    let throttle = TaskThrottle {
        cell: CELL,
        epoch: EPOCH,
        task: task(),
        attempt: ATTEMPT,
        cpu_milli: 100,
    };
    client.throttle(&throttle).unwrap();
    let stop = TaskStop {
        cell: CELL,
        epoch: EPOCH,
        task: task(),
        attempt: ATTEMPT,
        checkpoint: true,
    };
    client.stop(&stop).unwrap();
    let history = standin.service().history();
    assert_eq!((history.len(), history[0].phase), (1, TaskPhase::Stopped));
}

#[test]
fn refusals_state_their_reason() {
    let (standin, client) = worker();
    let report = renew(&client, EPOCH).unwrap();
    let stale = renew(&client, CellEpoch::new(4)).unwrap_err();
    assert_eq!(
        stale,
        WorkerError::Refused(WorkerRefusal::StaleEpoch { highest: 5 })
    );
    let outdated = start(&client, report.permit + 1).unwrap_err();
    assert_eq!(outdated, WorkerError::Refused(WorkerRefusal::StalePermit));
    standin.service().set_faults(WorkerFaults {
        refuse: true,
        ..WorkerFaults::default()
    });
    let leaving = start(&client, report.permit).unwrap_err();
    assert_eq!(leaving, WorkerError::Refused(WorkerRefusal::Leaving));
    assert_eq!(standin.service().history(), []);
}

#[test]
fn a_renewal_shows_a_start_whose_response_was_lost() {
    let (standin, client) = worker();
    let permit = renew(&client, EPOCH).unwrap().permit;
    standin.service().set_faults(LOSE_ONE);
    assert_eq!(start(&client, permit), Err(WorkerError::Unknown));
    let report = renew(&client, EPOCH).unwrap();
    assert_eq!(report.tasks[0].phase, TaskPhase::Running);
    assert_eq!(start(&client, permit), Ok(()));
    assert_eq!(standin.service().history().len(), 1);
}

#[test]
fn a_renewal_whose_response_was_lost_invalidates_the_permit() {
    let (standin, client) = worker();
    let permit = renew(&client, EPOCH).unwrap().permit;
    standin.service().set_faults(LOSE_ONE);
    assert_eq!(renew(&client, EPOCH), Err(WorkerError::Unknown));
    let refused = start(&client, permit).unwrap_err();
    assert_eq!(refused, WorkerError::Refused(WorkerRefusal::StalePermit));
}

#[test]
fn a_call_to_an_unreachable_worker_is_not_sent() {
    let client = WorkerClient::new(unused_address(), TIMEOUT);
    assert_eq!(start(&client, 1), Err(WorkerError::NotSent));
}

#[test_case("409 Conflict", "{}"; "a refusal without a reason")]
#[test_case("500 Oops", "{}"; "internal error")]
#[test_case("200 OK", "{}"; "an empty report")]
fn inconclusive_responses_are_unknown(status: &str, body: &str) {
    let text = format!("HTTP/1.1 {status}\r\ncontent-length: 2\r\n\r\n{body}");
    let peer = ScriptedPeer::once(&text);
    let client = WorkerClient::new(peer.address(), TIMEOUT);
    assert_eq!(renew(&client, EPOCH), Err(WorkerError::Unknown));
}
