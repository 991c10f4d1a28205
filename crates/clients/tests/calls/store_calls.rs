//! Tests of calls to the store.

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
use crate::scripted_peer::unused_address;

const TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout of watches that should be woken by a change. It is shorter than the time
/// for which the stand-in keeps an idle watch open.
const WAKE_TIMEOUT: Duration = Duration::from_secs(10);

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
fn commits_are_atomic() {
    let (_standin, client) = store();
    let writes = [put("a/1", b"one"), put("a/2", b"two"), put("b", b"\xff\0")];
    assert_eq!(
        commit(&client, &[absent("a/1")], &writes),
        Ok(CommitAnswer::Done(2))
    );
    let rejected = commit(
        &client,
        &[absent("c"), absent("a/1")],
        &[put("c", b"three")],
    );
    assert_eq!(rejected, Ok(CommitAnswer::Beaten));
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
fn exactly_one_of_the_concurrent_commits_succeeds() {
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
fn a_commit_whose_response_is_lost_is_unknown_until_read_back() {
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
fn calls_to_a_failed_store_are_not_run() {
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
fn calls_to_an_unreachable_store_are_not_run() {
    let client = EtcdClient::new(unused_address(), TIMEOUT);
    assert_eq!(commit(&client, &[], &[]), Err(StoreError::NotRun));
}

#[test_case("503 Down", r#"{"message":"etcdserver: no leader"}"#, StoreError::NotRun; "no leader")]
#[test_case("503 Down", r#"{"message":"etcdserver: request timed out"}"#, StoreError::Unknown; "timeout during execution")]
#[test_case("503 Down", "", StoreError::Unknown; "unavailable without a message")]
#[test_case("400 Bad", "{}", StoreError::NotRun; "bad request")]
#[test_case("404 Missing", "{}", StoreError::NotRun; "lease not found")]
#[test_case("429 Many", "{}", StoreError::NotRun; "rate limited")]
#[test_case("500 Oops", "{}", StoreError::Unknown; "internal error")]
#[test_case("504 Late", "{}", StoreError::Unknown; "gateway timeout")]
#[test_case("302 Found\r\nlocation: /", "", StoreError::Unknown; "a redirect")]
#[test_case("200 OK", "{}", StoreError::Unknown; "a response of another call")]
#[test_case("200 OK", r#"{"header":{"revision":"-1"},"succeeded":true}"#, StoreError::Unknown; "a negative revision")]
fn failed_commits_are_classified_by_status_and_message(
    status: &str,
    body: &str,
    error: StoreError,
) {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}");
    let peer = ScriptedPeer::once(&text);
    let client = EtcdClient::new(peer.address(), TIMEOUT);
    assert_eq!(commit(&client, &[], &[put("k", b"v")]), Err(error));
    assert_eq!(peer.requests().len(), 1);
}

#[test]
fn values_are_limited_to_one_mebibyte() {
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
fn a_watch_returns_on_a_change_under_its_prefix() {
    let (standin, client) = store();
    let client = Arc::new(client);
    let watcher = Arc::clone(&client);
    let thread = std::thread::spawn(move || {
        let watch = StoreWatch {
            prefix: "config/",
            after: 1,
        };
        watcher.watch(&watch, WAKE_TIMEOUT).unwrap()
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
fn a_watch_returns_at_once_for_an_earlier_change() {
    let (_standin, client) = store();
    commit(&client, &[], &[put("k", b"v")]).unwrap();
    let watch = |after| StoreWatch { prefix: "k", after };
    assert!(client.watch(&watch(1), WAKE_TIMEOUT).unwrap().is_some());
    let unchanged = client.watch(&watch(2), Duration::from_millis(50));
    assert_eq!(unchanged.unwrap(), None);
}

#[test]
fn a_watch_fails_when_the_store_fails() {
    let (standin, client) = store();
    let thread = std::thread::spawn(move || {
        let watch = StoreWatch {
            prefix: "k",
            after: 1,
        };
        *client
            .watch(&watch, WAKE_TIMEOUT)
            .unwrap_err()
            .current_context()
    });
    while standin.service().counts().watches == 0 {
        std::thread::sleep(Duration::from_millis(1));
    }
    standin.service().set_faults(DOWN);
    assert_eq!(thread.join().unwrap(), StoreError::Unknown);
}

#[test]
fn a_watch_of_compacted_revisions_is_not_run() {
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
fn lease_expiry_deletes_rows_and_wakes_watches() {
    let (_standin, client) = store();
    let lease = client.grant_lease(Duration::from_millis(900)).unwrap();
    assert!(client.renew_lease(lease).unwrap());
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
    let range = client.watch(&watch, WAKE_TIMEOUT).unwrap().unwrap();
    assert_eq!((range.revision, range.rows), (3, Vec::new()));
    assert!(!client.renew_lease(lease).unwrap());
    assert_eq!(commit(&client, &[], &[leased]), Err(StoreError::NotRun));
}
