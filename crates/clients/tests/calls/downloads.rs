//! Tests of downloads, whose responses may take long or be too large.

use std::time::Duration;

use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::DownloadOutcome;
use sapphirestile_clients::http::HttpClient;
use test_case::test_case;

use crate::peer_script::PeerScript;
use crate::scripted_peer::ScriptedPeer;

const RESPONSE_MAX_BYTES: usize = 8;

/// The timeout of downloads that should succeed.
const LONG: Duration = Duration::from_secs(20);

/// The timeout of downloads that should time out.
const SHORT: Duration = Duration::from_millis(200);

fn download(script: PeerScript, timeout: Duration) -> Result<DownloadOutcome, CallError> {
    let peer = ScriptedPeer::start(vec![vec![script]]);
    let limits = CallLimits {
        timeout,
        response_max_bytes: RESPONSE_MAX_BYTES,
    };
    let client = HttpClient::new(peer.address(), limits);
    let outcome = client.download("test", &CallRequest::get("/path"));
    outcome.map_err(|report| *report.current_context())
}

#[test]
fn a_response_of_the_maximum_size_is_complete() {
    let script = PeerScript::respond("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\ncomplete");
    let Ok(DownloadOutcome::Complete(response)) = download(script, LONG) else {
        panic!("the download is not complete");
    };
    assert_eq!(response.body, b"complete");
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\n"; "content length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\ntoo large\r\n0\r\n\r\n"; "chunks")]
fn a_response_above_the_maximum_size_is_too_large(text: &str) {
    let outcome = download(PeerScript::respond(text), LONG);
    assert_eq!(outcome, Ok(DownloadOutcome::TooLarge));
}

#[test_case(""; "before the head")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\ncomp"; "within the body")]
fn a_response_that_stops_arriving_is_unknown(text: &str) {
    let outcome = download(PeerScript::respond(text), SHORT);
    assert_eq!(outcome, Err(CallError::Unknown));
}
