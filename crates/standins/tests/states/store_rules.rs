//! Transactions, leases and watches of the store.

use sapphirestile_core::MonoTime;
use sapphirestile_standins::store::KeyChange;
use sapphirestile_standins::store::KeyRange;
use sapphirestile_standins::store::StoreState;
use sapphirestile_standins::store::TxnError;
use sapphirestile_standins::store::WatchOutcome;
use sapphirestile_wire::store::Base64Bytes;
use sapphirestile_wire::store::CompareClause;
use sapphirestile_wire::store::CompareResult;
use sapphirestile_wire::store::CompareTarget;
use sapphirestile_wire::store::DecimalNumber;
use sapphirestile_wire::store::DeleteRequest;
use sapphirestile_wire::store::PutRequest;
use sapphirestile_wire::store::TxnRequest;
use sapphirestile_wire::store::TxnWrite;

const ALL_KEYS: KeyRange<'static> = KeyRange {
    first: b"\0",
    end: b"\0",
};

const fn at(millis: u64) -> MonoTime {
    MonoTime::from_millis(millis)
}

fn put(key: &str, lease: i64) -> TxnWrite<'_> {
    TxnWrite::Put(PutRequest {
        key: Base64Bytes::from(key.as_bytes()),
        value: Base64Bytes::from(b"v".as_slice()),
        lease: DecimalNumber::new(lease),
    })
}

fn delete<'a>(first: &'a str, end: &'a str) -> TxnWrite<'a> {
    TxnWrite::Delete(DeleteRequest {
        key: Base64Bytes::from(first.as_bytes()),
        range_end: Base64Bytes::from(end.as_bytes()),
    })
}

fn clause(key: &str, revision: i64) -> CompareClause<'_> {
    CompareClause {
        key: Base64Bytes::from(key.as_bytes()),
        target: CompareTarget::Mod,
        result: CompareResult::Equal,
        mod_revision: DecimalNumber::new(revision),
    }
}

fn write(state: &mut StoreState, now: u64, success: Vec<TxnWrite<'_>>) -> Result<bool, TxnError> {
    let compare = Vec::new();
    state.commit(at(now), &TxnRequest { compare, success })
}

fn rows(state: &StoreState) -> Vec<(&str, u64, u64)> {
    let rows = state.range(ALL_KEYS);
    rows.map(|(key, row)| {
        let key = std::str::from_utf8(key).unwrap();
        (key, row.create_revision, row.mod_revision)
    })
    .collect()
}

#[test]
fn revisions_increase_with_effective_writes() {
    let mut state = StoreState::new();
    assert_eq!(
        write(&mut state, 0, vec![put("b", 0), put("a", 0)]),
        Ok(true)
    );
    assert_eq!(write(&mut state, 0, vec![put("a", 0)]), Ok(true));
    assert_eq!(rows(&state), [("a", 2, 3), ("b", 2, 2)]);
    assert_eq!(write(&mut state, 0, vec![delete("x", "z")]), Ok(true));
    assert_eq!(state.revision(), 3);
    assert_eq!(write(&mut state, 0, vec![delete("a", "b")]), Ok(true));
    assert_eq!(write(&mut state, 0, vec![put("a", 0)]), Ok(true));
    assert_eq!(rows(&state), [("a", 5, 5), ("b", 2, 2)]);
}

#[test]
fn every_clause_has_to_hold() {
    let mut state = StoreState::new();
    write(&mut state, 0, vec![put("a", 0)]).unwrap();
    let mut commit = |compare| {
        let success = vec![put("b", 0)];
        state.commit(at(0), &TxnRequest { compare, success })
    };
    assert_eq!(commit(vec![clause("a", 1)]), Ok(false));
    assert_eq!(commit(vec![clause("a", 2), clause("b", 2)]), Ok(false));
    assert_eq!(commit(vec![clause("a", 0)]), Ok(false));
    assert_eq!(commit(vec![clause("a", -2)]), Ok(false));
    assert_eq!(commit(vec![clause("a", 2), clause("b", 0)]), Ok(true));
    assert_eq!(rows(&state), [("a", 2, 2), ("b", 3, 3)]);
}

#[test]
fn a_key_is_written_once_in_a_transaction() {
    let mut state = StoreState::new();
    let twice = write(&mut state, 0, vec![put("a", 0), put("a", 0)]);
    assert_eq!(twice, Err(TxnError::DuplicateKey));
    let deleted = write(&mut state, 0, vec![delete("a", "b"), put("a", 0)]);
    assert_eq!(deleted, Err(TxnError::DuplicateKey));
    assert_eq!(rows(&state), []);
}

#[test]
fn rows_are_deleted_when_their_lease_expires() {
    let mut state = StoreState::new();
    let lease = state.grant(at(0), 1_000);
    write(&mut state, 0, vec![put("leased", lease), put("kept", 0)]).unwrap();
    assert_eq!(state.renew(at(999), lease), Some(1_000));
    state.expire_leases(at(1_998));
    assert_eq!(rows(&state).len(), 2);
    assert_eq!(state.next_expiry(), Some(at(1_999)));
    state.expire_leases(at(1_999));
    assert_eq!(rows(&state), [("kept", 2, 2)]);
    assert_eq!(state.revision(), 3);
    assert_eq!(state.renew(at(1_999), lease), None);
    let late = write(&mut state, 1_999, vec![put("leased", lease)]);
    assert_eq!(late, Err(TxnError::LeaseNotFound));
}

#[test]
fn a_row_rewritten_without_the_lease_outlives_it() {
    let mut state = StoreState::new();
    let lease = state.grant(at(0), 1_000);
    write(&mut state, 0, vec![put("a", lease)]).unwrap();
    write(&mut state, 0, vec![put("a", 0)]).unwrap();
    state.expire_leases(at(5_000));
    assert_eq!(rows(&state), [("a", 2, 3)]);
}

#[test]
fn watches_return_writes_and_deletions_from_their_start_revision() {
    let mut state = StoreState::new();
    let range = KeyRange {
        first: b"a",
        end: b"b",
    };
    write(&mut state, 0, vec![put("a1", 0), put("b1", 0)]).unwrap();
    write(&mut state, 0, vec![delete("a1", "")]).unwrap();
    let change = |revision| KeyChange {
        revision,
        key: b"a1".to_vec(),
    };
    let all = WatchOutcome::Changed(vec![change(2), change(3)]);
    assert_eq!(state.changes_from(range, 2), all);
    assert_eq!(
        state.changes_from(range, 3),
        WatchOutcome::Changed(vec![change(3)])
    );
    assert_eq!(state.changes_from(range, 4), WatchOutcome::Unchanged);
}

#[test]
fn watches_from_a_dropped_revision_get_the_compact_revision() {
    let mut state = StoreState::new();
    for _ in 0..100_001 {
        write(&mut state, 0, vec![put("a", 0)]).unwrap();
    }
    assert_eq!(state.changes_from(ALL_KEYS, 2), WatchOutcome::Compacted(3));
    assert!(matches!(
        state.changes_from(ALL_KEYS, 3),
        WatchOutcome::Changed(_)
    ));
}
