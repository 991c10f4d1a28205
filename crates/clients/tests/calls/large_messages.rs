//! Tests with heads and bodies near or beyond the size of a connection's buffers.

use std::time::Duration;

use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::HeaderView;
use sapphirestile_clients::http::HttpClient;

use crate::scripted_peer::ScriptedPeer;

/// The maximum size of a request head that the callers' port accepts.
const REQUEST_HEAD_BYTES: usize = 8 * 1_024;
/// Just below the maximum size of a response head.
const RESPONSE_HEAD_BYTES: usize = 16_000;
const BODY_BYTES: usize = 1_000_000;

fn limits() -> CallLimits {
    CallLimits {
        timeout: Duration::from_secs(20),
        response_max_bytes: BODY_BYTES,
    }
}

#[test]
fn large_heads_are_transferred_completely() {
    let long = "h".repeat(RESPONSE_HEAD_BYTES);
    let text = format!("HTTP/1.1 200 OK\r\nx-long: {long}\r\ncontent-length: 2\r\n\r\nok");
    let peer = ScriptedPeer::once(&text);
    let value = vec![b'v'; REQUEST_HEAD_BYTES];
    let headers = [HeaderView {
        name: "x-caller",
        value: &value,
    }];
    let request = CallRequest {
        headers: &headers,
        ..CallRequest::get("/")
    };
    let answer = HttpClient::new(peer.address(), limits()).call("call", &request);
    let answer = answer.unwrap();
    assert_eq!(answer.sole_header("x-long"), Some(long.as_bytes()));
    assert!(peer.requests()[0].contains(&"v".repeat(REQUEST_HEAD_BYTES)));
}

#[test]
fn large_bodies_are_transferred_completely() {
    let body = "b".repeat(BODY_BYTES);
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {BODY_BYTES}\r\n\r\n{body}");
    let peer = ScriptedPeer::once(&text);
    let request = CallRequest::post_json("/", body.as_bytes());
    let answer = HttpClient::new(peer.address(), limits()).call("call", &request);
    assert_eq!(answer.unwrap().body, body.as_bytes());
    assert!(peer.requests()[0].ends_with(&body));
}
