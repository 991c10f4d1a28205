//! Connections that fail without being closed, while new ones work.

use std::sync::Arc;
use std::sync::Barrier;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use sapphirestile_clients::http::CallError;
use sapphirestile_clients::http::HttpClient;
use sapphirestile_clients::http::PeerConnections;
use sapphirestile_clients::http::SilenceMark;

use crate::connection_reuse::limits;
use crate::connection_reuse::post;
use crate::peer_script::PeerScript;
use crate::scripted_peer::ScriptedPeer;

const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole";

/// The number of connections that fail together.
const CONNECTIONS: usize = 4;

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(300);

/// Guards against calls that time out one after the other: each took another of the connections
/// that had failed at the same time.
#[test]
fn one_call_without_an_answer_closes_the_connections_that_were_idle() {
    // The scripts wait for signals that never come, as long as this end is kept.
    let (kept, never): (Vec<_>, Vec<_>) = (0..CONNECTIONS).map(|_| channel()).unzip();
    let together = Arc::new(Barrier::new(CONNECTIONS));
    let silent = never.into_iter().map(|never| {
        vec![
            PeerScript::RespondTogether(Arc::clone(&together), ANSWER.into()),
            PeerScript::RespondLate(never, ANSWER.into()),
        ]
    });
    let working = vec![PeerScript::respond(ANSWER)];
    let peer = ScriptedPeer::start(silent.chain([working]).collect());
    let connections = PeerConnections::new(peer.address());
    let client = |timeout| HttpClient::with_connections(connections.clone(), limits(timeout));
    thread::scope(|scope| {
        for _ in 0..CONNECTIONS {
            scope.spawn(|| assert!(post(&client(LONG), "together").is_ok()));
        }
    });
    assert_eq!(post(&client(SHORT), "lost"), Err(CallError::Unknown));
    assert_eq!(post(&client(LONG), "sent"), Ok(b"whole".to_vec()));
    drop(kept);
}

/// Guards against needless connections: one answer that is lost says nothing about a connection
/// on which the peer has answered since.
#[test]
fn connection_that_has_answered_meanwhile_is_kept() {
    let (kept, never) = channel();
    let silent = vec![
        PeerScript::respond(ANSWER),
        PeerScript::RespondLate(never, ANSWER.into()),
    ];
    let working = vec![PeerScript::respond(ANSWER), PeerScript::respond(ANSWER)];
    let peer = ScriptedPeer::start(vec![silent, working]);
    let connections = PeerConnections::new(peer.address());
    let client = |timeout| HttpClient::with_connections(connections.clone(), limits(timeout));
    assert!(post(&client(LONG), "first").is_ok());
    thread::scope(|scope| {
        let lost = scope.spawn(|| post(&client(SHORT), "lost"));
        while peer.requests().len() < 2 {
            thread::sleep(Duration::from_millis(1));
        }
        assert!(post(&client(LONG), "answered").is_ok());
        assert_eq!(lost.join().unwrap(), Err(CallError::Unknown));
    });
    assert!(post(&client(LONG), "on the same").is_ok());
    assert_eq!(peer.requests().len(), 4, "no further connection");
    drop(kept);
}

/// Guards against a second call that waits long: connections failed while the peer held the
/// answer to the first one, after they had answered.
#[test]
fn long_call_without_an_answer_casts_doubt_on_answers_that_came_long_before_its_end() {
    let mark = SilenceMark::new();
    let started = Instant::now();
    let after = |millis| started + Duration::from_millis(millis);
    mark.record(started, after(2_400));
    assert!(mark.casts_doubt_on(started));
    assert!(mark.casts_doubt_on(after(1_400)));
    assert!(!mark.casts_doubt_on(after(1_600)));
    mark.record(after(100), after(300));
    assert!(mark.casts_doubt_on(after(1_400)), "the later time counts");
}
