//! Responses that take longer than the time limit to arrive, without pausing as long.

use std::time::Duration;

use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::DownloadOutcome;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::store::EtcdClient;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_clients::vms::VmClient;

use crate::peer_script::PeerScript;
use crate::scripted_peer::ScriptedPeer;

const TIMEOUT: Duration = Duration::from_secs(1);

const PAUSE: Duration = Duration::from_millis(250);

const PARTS: usize = 8;

/// Large beside the head, which has to arrive within the timeout.
const RESPONSE_MAX_BYTES: usize = 256;

fn slow_peer(body: &str) -> ScriptedPeer {
    let length = body.len();
    let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}");
    let script = PeerScript::RespondSlowly(response.into_bytes(), PARTS, PAUSE);
    ScriptedPeer::start(vec![vec![script]])
}

#[test]
fn a_download_that_takes_longer_than_its_timeout_is_complete() {
    let body = "x".repeat(RESPONSE_MAX_BYTES);
    let peer = slow_peer(&body);
    let limits = CallLimits {
        timeout: TIMEOUT,
        response_max_bytes: RESPONSE_MAX_BYTES,
    };
    let client = HttpClient::new(peer.address(), limits);
    let outcome = client.download("test", &CallRequest::get("/path"));
    let Ok(DownloadOutcome::Complete(response)) = outcome else {
        panic!("the download is not complete");
    };
    assert_eq!(response.body, body.as_bytes());
}

/// A listing without a bound of the whole outlived the process that asked for it.
#[test]
fn a_download_that_takes_longer_than_its_whole_time_fails() {
    let peer = slow_peer(&"x".repeat(RESPONSE_MAX_BYTES));
    let limits = CallLimits {
        timeout: TIMEOUT,
        response_max_bytes: RESPONSE_MAX_BYTES,
    };
    let client = HttpClient::new(peer.address(), limits);
    let outcome = client.download_within("test", &CallRequest::get("/path"), TIMEOUT);
    let error = outcome.expect_err("the download is cut");
    assert_eq!(*error.current_context(), CallError::Unknown);
}

#[test]
fn a_list_of_vms_that_takes_longer_than_the_timeout_is_read() {
    let peer =
        slow_peer(r#"[{"name":"vm-1","kind":"worker","address":"","zone":"oulu","state":"live"}]"#);
    let client = VmClient::new(peer.address(), TIMEOUT);
    assert_eq!(client.list().expect("the list arrives slowly").len(), 1);
}

#[test]
fn rows_that_take_longer_than_the_timeout_are_listed() {
    let peer = slow_peer(
        r#"{"header":{"revision":"7"},"kvs":[{"key":"YS9i","value":"dg==","mod_revision":"7"}]}"#,
    );
    let client = EtcdClient::new(peer.address(), TIMEOUT);
    let range = client.read("a/").expect("the rows arrive slowly");
    assert_eq!(range.rows.len(), 1);
}
