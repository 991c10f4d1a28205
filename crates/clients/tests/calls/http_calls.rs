//! Tests with complete, broken and missing responses.

use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::channel;
use std::time::Duration;

use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::HttpResponse;
use sapphirestile_clients::http::PeerAddress;
use test_case::test_case;

use crate::peer_script::PeerScript;
use crate::scripted_peer::ScriptedPeer;
use crate::scripted_peer::unused_address;

const RESPONSE_MAX_BYTES: usize = 64;

/// The timeout of calls that should succeed.
const LONG: Duration = Duration::from_secs(20);

/// The timeout of calls that should time out.
const SHORT: Duration = Duration::from_millis(200);

fn call(peer: PeerAddress, timeout: Duration) -> Result<HttpResponse, CallError> {
    let limits = CallLimits {
        timeout,
        response_max_bytes: RESPONSE_MAX_BYTES,
    };
    let request = CallRequest::post_json("/path?query=1", b"{}");
    let answer = HttpClient::new(peer, limits).call("test", &request);
    answer.map_err(|report| *report.current_context())
}

#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole", 200, b"whole"; "content length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n", 200, b"whole"; "chunked")]
#[test_case("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n", 404, b""; "client error")]
#[test_case("HTTP/1.1 500 Oops\r\ncontent-length: 2\r\n\r\nno", 500, b"no"; "server error")]
#[test_case("HTTP/1.1 302 Found\r\nlocation: /other\r\ncontent-length: 0\r\n\r\n", 302, b""; "redirect")]
#[test_case("HTTP/1.1 204 No Content\r\n\r\n", 204, b""; "no content")]
fn complete_responses_are_returned(text: &str, status: u16, body: &[u8]) {
    let peer = ScriptedPeer::once(text);
    let answer = call(peer.address(), LONG).unwrap();
    assert_eq!((answer.status, answer.body.as_slice()), (status, body));
    let sent = format!(
        "POST /path?query=1 HTTP/1.1\r\ncontent-length: 2\r\nhost: {}\r\n\
         content-type: application/json\r\n\r\n{{}}",
        peer.address()
    );
    assert_eq!(peer.requests(), [sent]);
}

#[test_case(""; "empty")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-"; "truncated head")]
#[test_case("garbage\r\n\r\n"; "garbage")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nwhole"; "shorter than the content length")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n"; "missing last chunk")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n6\r\nwhole"; "truncated chunk")]
#[test_case("HTTP/1.1 200 OK\r\n\r\nwhole"; "delimited by the end of the connection")]
#[test_case("HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"; "chunked in HTTP 1.0")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ncontent-length: 3\r\n\r\nwhole"; "two content lengths")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"; "two framings")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 65\r\n\r\n"; "content length above the limit")]
#[test_case("HTTP/1.1 200 OK\r\ncontent-length: 99999999999999999999\r\n\r\n"; "content length overflows")]
#[test_case("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n41\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n0\r\n\r\n"; "chunks above the limit")]
fn broken_responses_are_unknown(text: &str) {
    let peer = ScriptedPeer::once(text);
    assert_eq!(call(peer.address(), LONG), Err(CallError::Unknown));
    assert_eq!(peer.requests().len(), 1);
}

#[test]
fn a_response_of_the_maximum_size_is_returned() {
    let body = "x".repeat(RESPONSE_MAX_BYTES);
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {RESPONSE_MAX_BYTES}\r\n\r\n{body}");
    let peer = ScriptedPeer::once(&text);
    assert_eq!(call(peer.address(), LONG).unwrap().body, body.as_bytes());
}

#[test]
fn a_missing_response_is_unknown() {
    let (hold, signal) = channel();
    let peer = ScriptedPeer::start(vec![vec![PeerScript::RespondLate(signal, Vec::new())]]);
    assert_eq!(call(peer.address(), SHORT), Err(CallError::Unknown));
    assert_eq!(peer.requests().len(), 1);
    drop(hold);
}

#[test]
fn a_call_on_a_refused_connection_is_not_sent() {
    assert_eq!(call(unused_address(), LONG), Err(CallError::NotSent));
}

/// Connecting to the broadcast address of the loopback network fails.
#[test]
fn a_call_to_an_unreachable_peer_is_not_sent() {
    let peer = PeerAddress::try_from("127.255.255.255:9000").unwrap();
    assert_eq!(call(peer, LONG), Err(CallError::NotSent));
}

#[test]
fn a_call_whose_connection_times_out_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    // Nothing is accepted, so the backlog fills up and further connections time out.
    let backlog: Vec<TcpStream> = (0..8_192)
        .map_while(|_| TcpStream::connect_timeout(&address, SHORT).ok())
        .collect();
    let peer = PeerAddress::try_from(address).unwrap();
    assert_eq!(call(peer, SHORT), Err(CallError::NotSent));
    drop(backlog);
}

#[test]
fn a_malformed_request_is_not_sent() {
    let limits = CallLimits {
        timeout: LONG,
        response_max_bytes: RESPONSE_MAX_BYTES,
    };
    let client = HttpClient::new(unused_address(), limits);
    let report = client
        .call("test", &CallRequest::get("/a path"))
        .unwrap_err();
    assert_eq!(*report.current_context(), CallError::NotSent);
    assert!(format!("{report:?}").contains(&format!("test at {}", client.peer())));
}

#[test_case("GET"; "get")]
#[test_case("DELETE"; "delete")]
#[test_case("PURGE"; "extension method")]
fn any_method_is_sent_with_and_without_a_body(method: &str) {
    for body in ["", "body"] {
        let peer = ScriptedPeer::once("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        let limits = CallLimits {
            timeout: LONG,
            response_max_bytes: RESPONSE_MAX_BYTES,
        };
        let request = CallRequest {
            method,
            path: "/",
            headers: &[],
            body: body.as_bytes(),
        };
        let answer = HttpClient::new(peer.address(), limits).call("test", &request);
        assert_eq!(answer.unwrap().body, b"ok");
        let requests = peer.requests();
        assert!(requests[0].starts_with(&format!("{method} / HTTP/1.1\r\n")));
        assert!(requests[0].ends_with(&format!("\r\n\r\n{body}")));
    }
}
