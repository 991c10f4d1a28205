//! Connections that are kept open between calls.

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

fn client(peer: &ScriptedPeer, timeout: Duration) -> HttpClient {
    let limits = CallLimits {
        timeout,
        answer_max_bytes: 64,
    };
    HttpClient::new(peer.address(), limits)
}

fn post(client: &HttpClient, body: &str) -> Result<Vec<u8>, CallError> {
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
    let script = vec![PeerScript::answer(FIRST), PeerScript::answer(SECOND)];
    let peer = ScriptedPeer::start(vec![script]);
    let client = client(&peer, Duration::from_secs(20));
    assert_eq!(post(&client, "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client.clone(), "2"), Ok(b"second".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2"]);
}

#[test]
fn clients_made_for_each_call_share_the_connections_of_a_table() {
    let first = vec![PeerScript::answer(FIRST), PeerScript::answer(SECOND)];
    let peer = ScriptedPeer::start(vec![first, vec![PeerScript::answer(FIRST)]]);
    let table = ConnectionTable::new();
    let client = |seconds| {
        let limits = CallLimits {
            timeout: Duration::from_secs(seconds),
            answer_max_bytes: 64,
        };
        HttpClient::over(table.connections(peer.address()), limits)
    };
    assert_eq!(post(&client(20), "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client(21), "2"), Ok(b"second".to_vec()));
    table.keep(&[]);
    assert!(table.is_empty());
    assert_eq!(post(&client(20), "3"), Ok(b"first".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2", "3"]);
}

/// The peer takes the second request on the shared connection and closes it.
#[test]
fn a_call_on_a_connection_that_closes_is_unknown_and_not_sent_again() {
    let script = vec![PeerScript::answer(FIRST), PeerScript::last("")];
    let peer = ScriptedPeer::start(vec![script, vec![PeerScript::answer(SECOND)]]);
    let client = client(&peer, Duration::from_secs(20));
    assert_eq!(post(&client, "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client, "2"), Err(CallError::Unknown));
    assert_eq!(bodies(&peer), ["1", "2"]);
}

/// The peer closes the connection after the first answer. Whether the client
/// has noticed when it sends the second request is a race; that the request
/// arrives once at the most is not.
#[test]
fn a_call_after_an_idle_connection_closed_is_sent_once_at_the_most() {
    for _ in 0..50 {
        let first = vec![PeerScript::last(FIRST)];
        let peer = ScriptedPeer::start(vec![first, vec![PeerScript::answer(SECOND)]]);
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
fn a_late_answer_reaches_nobody() {
    let (send, signal) = channel();
    let late = vec![PeerScript::AnswerLate(signal, FIRST.into())];
    let peer = ScriptedPeer::start(vec![late, vec![PeerScript::answer(SECOND)]]);
    let client = client(&peer, Duration::from_millis(300));
    assert_eq!(post(&client, "1"), Err(CallError::Unknown));
    send.send(()).unwrap();
    assert_eq!(post(&client, "2"), Ok(b"second".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2"]);
}

#[test]
fn bytes_after_an_answer_are_not_the_next_answer() {
    let doubled = vec![PeerScript::answer(&format!("{FIRST}{FIRST}"))];
    let peer = ScriptedPeer::start(vec![doubled, vec![PeerScript::answer(SECOND)]]);
    let client = client(&peer, Duration::from_secs(20));
    assert_eq!(post(&client, "1"), Ok(b"first".to_vec()));
    assert_eq!(post(&client, "2"), Ok(b"second".to_vec()));
    assert_eq!(bodies(&peer), ["1", "2"]);
}
