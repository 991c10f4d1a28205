//! Calls to the store.

use std::sync::Arc;
use std::time::Duration;

use sapphirestile_clients::http::PeerAddress;
use sapphirestile_clients::store::CommitAnswer;
use sapphirestile_clients::store::EtcdClient;
use sapphirestile_clients::store::StoreClient;
use sapphirestile_clients::store::StoreCommit;
use sapphirestile_clients::store::StoreError;
use sapphirestile_clients::store::StoreGuard;
use sapphirestile_clients::store::StoreWatch;
use sapphirestile_clients::store::StoreWrite;
use sapphirestile_standins::store::StoreFaults;
use sapphirestile_standins::store::StoreStandin;
use sapphirestile_wire::store::VALUE_MAX_BYTES;
use test_case::test_case;

use crate::scripted_peer::ScriptedPeer;
use crate::scripted_peer::silent_address;

const TIMEOUT: Duration = Duration::from_secs(20);

/// How long a watch waits that is expected to wake: shorter than the stand-in
/// holds a watch that nothing wakes.
const WAKE: Duration = Duration::from_secs(10);

const DOWN: StoreFaults = StoreFaults {
    down: true,
    delay_ms: 0,
    lose_answers: 0,
};

fn store() -> (StoreStandin, EtcdClient) {
    let any_port = ([127, 0, 0, 1], 0).into();
    let standin = StoreStandin::start(any_port, StoreFaults::default()).unwrap();
    let peer = PeerAddress::try_from(standin.address()).unwrap();
    (standin, EtcdClient::new(peer, TIMEOUT))
}

fn put<'a>(key: &'a str, value: &'a [u8]) -> StoreWrite<'a> {
    StoreWrite::Put {
        key,
        value,
        lease: None,
    }
}

fn commit(
    client: &EtcdClient,
    guards: &[StoreGuard<'_>],
    writes: &[StoreWrite<'_>],
) -> Result<CommitAnswer, StoreError> {
    let answer = client.commit(&StoreCommit { guards, writes });
    answer.map_err(|report| *report.current_context())
}

fn rows(client: &EtcdClient, prefix: &str) -> Vec<(String, Vec<u8>, u64)> {
    let range = client.read(prefix).unwrap();
    let rows = range.rows.into_iter();
    rows.map(|row| (row.key, row.value, row.revision)).collect()
}

fn absent(key: &str) -> StoreGuard<'_> {
    StoreGuard { key, revision: 0 }
}

#[test]
fn a_commit_takes_effect_as_a_whole_or_not_at_all() {
    let (_standin, client) = store();
    let writes = [put("a/1", b"one"), put("a/2", b"two"), put("b", b"\xff\0")];
    assert_eq!(
        commit(&client, &[absent("a/1")], &writes),
        Ok(CommitAnswer::Done(2))
    );
    let beaten = commit(
        &client,
        &[absent("c"), absent("a/1")],
        &[put("c", b"three")],
    );
    assert_eq!(beaten, Ok(CommitAnswer::Beaten));
    let expected = [
        ("a/1".into(), b"one".to_vec(), 2),
        ("a/2".into(), b"two".to_vec(), 2),
    ];
    assert_eq!(rows(&client, "a/"), expected);
    assert_eq!(rows(&client, "").len(), 3);
    let guard = StoreGuard {
        key: "a/1",
        revision: 2,
    };
    let delete = StoreWrite::DeleteRange {
        first: "a/",
        end: "a/2",
    };
    assert_eq!(
        commit(&client, &[guard], &[delete]),
        Ok(CommitAnswer::Done(3))
    );
    assert_eq!(rows(&client, "a/"), [("a/2".into(), b"two".to_vec(), 2)]);
}

#[test]
fn one_of_many_racing_commits_wins() {
    let (_standin, client) = store();
    let answers = std::thread::scope(|scope| {
        let threads = [(); 8]
            .map(|()| scope.spawn(|| commit(&client, &[absent("claim")], &[put("claim", b"x")])));
        threads.map(|thread| thread.join().unwrap().unwrap())
    });
    let done = answers
        .iter()
        .filter(|answer| **answer == CommitAnswer::Done(2));
    assert_eq!(done.count(), 1);
    assert_eq!(client.read("claim").unwrap().revision, 2);
}

#[test]
fn a_lost_answer_is_unknown_and_settled_by_reading() {
    let (standin, client) = store();
    standin.service().set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let lost = commit(&client, &[absent("k")], &[put("k", b"nonce")]);
    assert_eq!(lost, Err(StoreError::Unknown));
    assert_eq!(rows(&client, "k"), [("k".into(), b"nonce".to_vec(), 2)]);
    assert_eq!(standin.service().counts().txns, 1);
    assert_eq!(
        commit(&client, &[absent("k")], &[]),
        Ok(CommitAnswer::Beaten)
    );
}

#[test]
fn a_store_that_is_down_ran_nothing() {
    let (standin, client) = store();
    standin.service().set_faults(DOWN);
    assert_eq!(
        commit(&client, &[], &[put("k", b"v")]),
        Err(StoreError::NotRun)
    );
    let report = client.read("k").unwrap_err();
    assert_eq!(*report.current_context(), StoreError::NotRun);
    standin.service().set_faults(StoreFaults::default());
    assert_eq!(rows(&client, "k"), []);
}

#[test]
fn a_store_that_is_gone_ran_nothing() {
    let client = EtcdClient::new(silent_address(), TIMEOUT);
    assert_eq!(commit(&client, &[], &[]), Err(StoreError::NotRun));
}

#[test_case("503 Down", r#"{"message":"etcdserver: no leader"}"#, StoreError::NotRun; "no leader")]
#[test_case("503 Down", r#"{"message":"etcdserver: request timed out"}"#, StoreError::Unknown; "timed out inside")]
#[test_case("503 Down", "", StoreError::Unknown; "down without a reason")]
#[test_case("400 Bad", "{}", StoreError::NotRun; "not understood")]
#[test_case("404 Missing", "{}", StoreError::NotRun; "lease not found")]
#[test_case("429 Many", "{}", StoreError::NotRun; "too many calls")]
#[test_case("500 Oops", "{}", StoreError::Unknown; "an error")]
#[test_case("504 Late", "{}", StoreError::Unknown; "too late")]
#[test_case("302 Found\r\nlocation: /", "", StoreError::Unknown; "a redirect")]
#[test_case("200 OK", "{}", StoreError::Unknown; "an answer to something else")]
#[test_case("200 OK", r#"{"header":{"revision":"-1"},"succeeded":true}"#, StoreError::Unknown; "a bad revision")]
fn failed_commits_are_judged_by_what_is_proven(status: &str, body: &str, error: StoreError) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
    let peer = ScriptedPeer::once(&text);
    let client = EtcdClient::new(peer.address(), TIMEOUT);
    assert_eq!(commit(&client, &[], &[put("k", b"v")]), Err(error));
    assert_eq!(peer.requests().len(), 1);
}

#[test]
fn a_value_may_have_a_megabyte_and_no_more() {
    let (standin, client) = store();
    let largest = vec![7; VALUE_MAX_BYTES];
    let done = commit(&client, &[], &[put("k", &largest)]);
    assert_eq!(done, Ok(CommitAnswer::Done(2)));
    assert_eq!(rows(&client, "k"), [("k".into(), largest, 2)]);
    let larger = vec![7; VALUE_MAX_BYTES + 1];
    assert_eq!(
        commit(&client, &[], &[put("k", &larger)]),
        Err(StoreError::NotRun)
    );
    assert_eq!(standin.service().counts().txns, 1);
}

#[test]
fn a_watch_wakes_on_a_change_below_its_prefix() {
    let (standin, client) = store();
    let client = Arc::new(client);
    let watcher = Arc::clone(&client);
    let thread = std::thread::spawn(move || {
        let watch = StoreWatch {
            prefix: "config/",
            after: 1,
        };
        watcher.watch(&watch, WAKE).unwrap()
    });
    while standin.service().counts().watches == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    commit(&client, &[], &[put("other", b"x")]).unwrap();
    commit(&client, &[], &[put("config/a", b"new")]).unwrap();
    let range = thread.join().unwrap().unwrap();
    assert_eq!(
        (range.revision, range.rows[0].value.as_slice()),
        (3, b"new".as_slice())
    );
    let counts = standin.service().counts();
    assert_eq!((counts.watches, counts.ranges), (1, 1));
}

#[test]
fn a_watch_of_an_earlier_change_answers_at_once() {
    let (_standin, client) = store();
    commit(&client, &[], &[put("k", b"v")]).unwrap();
    let watch = |after| StoreWatch { prefix: "k", after };
    assert!(client.watch(&watch(1), WAKE).unwrap().is_some());
    let quiet = client.watch(&watch(2), Duration::from_millis(50));
    assert_eq!(quiet.unwrap(), None);
}

#[test]
fn a_watch_breaks_off_when_the_store_goes_down() {
    let (standin, client) = store();
    let thread = std::thread::spawn(move || {
        let watch = StoreWatch {
            prefix: "k",
            after: 1,
        };
        *client.watch(&watch, WAKE).unwrap_err().current_context()
    });
    while standin.service().counts().watches == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    standin.service().set_faults(DOWN);
    assert_eq!(thread.join().unwrap(), StoreError::Unknown);
}

#[test]
fn a_watch_of_forgotten_changes_is_turned_away() {
    let line = r#"{"result":{"header":{"revision":"9"},"canceled":true,"compact_revision":"5"}}"#;
    let length = line.len();
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{line}");
    let peer = ScriptedPeer::once(&text);
    let watch = StoreWatch {
        prefix: "k",
        after: 1,
    };
    let report = EtcdClient::new(peer.address(), TIMEOUT).watch(&watch, TIMEOUT);
    assert_eq!(*report.unwrap_err().current_context(), StoreError::NotRun);
}

#[test]
fn rows_of_a_lease_go_when_it_lapses_and_wake_watches() {
    let (_standin, client) = store();
    let lease = client.grant_lease(Duration::from_millis(900)).unwrap();
    assert!(client.keep_lease(lease).unwrap());
    let leased = StoreWrite::Put {
        key: "member/a",
        value: b"here",
        lease: Some(lease),
    };
    assert_eq!(commit(&client, &[], &[leased]), Ok(CommitAnswer::Done(2)));
    let watch = StoreWatch {
        prefix: "member/",
        after: 2,
    };
    let range = client.watch(&watch, WAKE).unwrap().unwrap();
    assert_eq!((range.revision, range.rows), (3, Vec::new()));
    assert!(!client.keep_lease(lease).unwrap());
    assert_eq!(commit(&client, &[], &[leased]), Err(StoreError::NotRun));
}
