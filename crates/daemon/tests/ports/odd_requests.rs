use std::net::SocketAddr;

use crate::deployed_process::DeployedProcess;
use crate::request_forms::authority_form;
use crate::request_forms::invalid_requests;
use crate::request_forms::unusual_requests;
use crate::support::DaemonFixture;
use crate::support::exchange;
use sapphirestile_standins::fleet::FleetPlan;

/// More than the connections of the ports of readiness and metrics, so that each connection
/// must be released after a panic of its thread.
const PANICS: usize = 80;

/// No request may end the daemon, and an invalid one must get no answer but a refusal.
#[test]
fn odd_requests_harm_only_their_own_connection() {
    let fixture = DaemonFixture::start("odd_requests", FleetPlan::default());
    let ports = [fixture.daemon.callers(), fixture.daemon.operators()];
    for port in ports {
        assert_invalid_are_refused(port);
    }
    fixture.assert_serves("after-odd-requests");
}

/// Like the test before, on the ports of a deployed daemon.
#[test]
fn odd_requests_to_a_deployed_daemon_harm_only_their_own_connection() {
    let mut daemon = DeployedProcess::start("odd_requests");
    for port in daemon.ports() {
        assert_invalid_are_refused(port);
        daemon.assert_serves();
    }
}

/// A panic of the HTTP library must release its connection, be counted, and be logged within
/// the rate limit.
#[test]
fn a_panic_of_the_library_is_counted_and_its_connection_released() {
    let mut daemon = DeployedProcess::start("library_panics");
    for port in daemon.ports() {
        for _ in 0..PANICS {
            assert_eq!(exchange(port, &authority_form()), "");
        }
        daemon.assert_serves();
    }
    let panics = daemon.ports().len() * PANICS;
    let counted = format!("sapphirestile_connection_panics_total {panics}\n");
    let metrics = daemon.metrics_text();
    assert!(metrics.contains(&counted), "{metrics}");
    let logged = daemon.count_log_lines("connection ended by a panic of the HTTP library");
    assert!((1..panics).contains(&logged), "{logged} lines");
}

fn assert_invalid_are_refused(port: SocketAddr) {
    for (name, request) in invalid_requests() {
        let answer = exchange(port, &request);
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 4"),
            "{name}: {answer}"
        );
    }
    for (name, request) in unusual_requests() {
        let answer = exchange(port, &request);
        assert!(
            answer.is_empty() || answer.starts_with("HTTP/1.1 "),
            "{name}: {answer}"
        );
    }
}
