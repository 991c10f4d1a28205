//! Tests of the reuse of connections between calls.

use std::sync::mpsc::channel;
use std::time::Duration;

use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::CallLimits;
use sapphirestile_clients::http::CallRequest;
use sapphirestile_clients::http::ConnectionTable;
use sapphirestile_clients::http::HttpClient;

use crate::peer_script::PeerScript;
use crate::scripted_peer::ScriptedPeer;

const FIRST: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst";
const SECOND: &str = "HTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond";

pub fn limits(timeout: Duration) -> CallLimits {
    CallLimits {
        timeout,
        response_max_bytes: 64,
    }
}

fn client(peer: &ScriptedPeer, timeout: Duration) -> HttpClient {
    HttpClient::new(peer.address(), limits(timeout))
}

pub fn post(client: &HttpClient, body: &str) -> Result<Vec<u8>, CallError> {
    let answer = client.call("test", &CallRequest::post_json("/", body.as_bytes()));
    answer
        .map(|answer| answer.body)
        .map_err(|report| *report.current_context())
}

fn bodies(peer: &ScriptedPeer) -> Vec<String> {
    let requests = peer.requests();
    let body = |request: &String| request.split("\r\n\r\n").nth(1).map(str::to_owned);
    requests
        .iter()
        .map(|request| body(request).unwrap_or(request.clone()))
        .collect()
}

#[test]
fn calls_share_a_connection() {
    let script = vec![PeerScript::respond(FIRST), PeerScript::respond(SECOND)];
    let peer = ScriptedPeer::start(vec![script]);
    let client = client(&peer, Duration::from_secs(20));
    assert_eq!(post(&client, "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client.clone(), "2"), Ok(b"second".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2"]);
}

#[test]
fn clients_created_per_call_share_the_connections_of_a_table() {
    let first = vec![PeerScript::respond(FIRST), PeerScript::respond(SECOND)];
    let peer = ScriptedPeer::start(vec![first, vec![PeerScript::respond(FIRST)]]);
    let table = ConnectionTable::new();
    let client = |seconds| {
        let limits = CallLimits {
            timeout: Duration::from_secs(seconds),
            response_max_bytes: 64,
        };
        HttpClient::with_connections(table.connections(peer.address()), limits)
    };
    assert_eq!(post(&client(20), "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client(21), "2"), Ok(b"second".to_vec()));
    table.retain(&[]);
    assert!(table.is_empty());
    assert_eq!(post(&client(20), "3"), Ok(b"first".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2", "3"]);
}

/// The peer closes the reused connection after it has received the second request.
#[test]
fn a_call_whose_connection_closes_is_unknown_and_not_retried() {
    let script = vec![
        PeerScript::respond(FIRST),
        PeerScript::respond_and_close(""),
    ];
    let peer = ScriptedPeer::start(vec![script, vec![PeerScript::respond(SECOND)]]);
    let client = client(&peer, Duration::from_secs(20));
    assert_eq!(post(&client, "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client, "2"), Err(CallError::Unknown));
    assert_eq!(bodies(&peer), ["1", "2"]);
}

/// The peer closes the connection after the first response. Whether the client has
/// noticed that before it sends the second request is a race, but in either case the
/// request must arrive at most once.
#[test]
fn a_call_after_an_idle_connection_closed_is_sent_at_most_once() {
    for _ in 0..50 {
        let first = vec![PeerScript::respond_and_close(FIRST)];
        let peer = ScriptedPeer::start(vec![first, vec![PeerScript::respond(SECOND)]]);
        let client = client(&peer, Duration::from_secs(20));
        assert_eq!(post(&client, "1"), Ok(b"first".to_vec()));
        match post(&client, "2") {
            Ok(body) => {
                assert_eq!(body, b"second");
                assert_eq!(bodies(&peer), ["1", "2"]);
            }
            Err(error) => {
                assert_eq!(error, CallError::Unknown);
                assert_eq!(bodies(&peer), ["1"]);
            }
        }
    }
}

#[test]
fn a_late_response_is_not_taken_for_the_next_one() {
    let (send, signal) = channel();
    let late = vec![PeerScript::RespondLate(signal, FIRST.into())];
    let peer = ScriptedPeer::start(vec![late, vec![PeerScript::respond(SECOND)]]);
    let client = client(&peer, Duration::from_millis(300));
    assert_eq!(post(&client, "1"), Err(CallError::Unknown));
    send.send(()).unwrap();
    assert_eq!(post(&client, "2"), Ok(b"second".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2"]);
}

#[test]
fn excess_bytes_are_not_taken_for_the_next_response() {
    let doubled = vec![PeerScript::respond(&format!("{FIRST}{FIRST}"))];
    let peer = ScriptedPeer::start(vec![doubled, vec![PeerScript::respond(SECOND)]]);
    let client = client(&peer, Duration::from_secs(20));
    assert_eq!(post(&client, "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client, "2"), Ok(b"second".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2"]);
}
