//! Construction of the bodies of etcd calls.

use std::num::TryFromIntError;
use std::time::Duration;

use crate::store::KeyRange;
use crate::store::StoreCommit;
use crate::store::StoreGuard;
use crate::store::StoreWatch;
use crate::store::StoreWrite;
use sapphirestile_wire::store::Base64Bytes;
use sapphirestile_wire::store::CompareClause;
use sapphirestile_wire::store::CompareResult;
use sapphirestile_wire::store::CompareTarget;
use sapphirestile_wire::store::DecimalNumber;
use sapphirestile_wire::store::DeleteRequest;
use sapphirestile_wire::store::GrantRequest;
use sapphirestile_wire::store::PutRequest;
use sapphirestile_wire::store::TxnRequest;
use sapphirestile_wire::store::TxnWrite;
use sapphirestile_wire::store::VALUE_MAX_BYTES;
use sapphirestile_wire::store::WatchCreate;
use sapphirestile_wire::store::WatchRequest;

/// Creates the transaction for a commit.
pub(crate) fn txn_request<'a>(commit: &StoreCommit<'a>) -> Result<TxnRequest<'a>, TryFromIntError> {
    let compare = commit
        .guards
        .iter()
        .map(compare_clause)
        .collect::<Result<_, _>>()?;
    let success = commit.writes.iter().map(txn_write).collect();
    Ok(TxnRequest { compare, success })
}

fn compare_clause<'a>(guard: &StoreGuard<'a>) -> Result<CompareClause<'a>, TryFromIntError> {
    Ok(CompareClause {
        key: Base64Bytes::from(guard.key.as_bytes()),
        target: CompareTarget::Mod,
        result: CompareResult::Equal,
        mod_revision: DecimalNumber::try_from(guard.revision)?,
    })
}

fn txn_write<'a>(write: &StoreWrite<'a>) -> TxnWrite<'a> {
    match *write {
        StoreWrite::Put { key, value, lease } => TxnWrite::Put(PutRequest {
            key: Base64Bytes::from(key.as_bytes()),
            value: Base64Bytes::from(value),
            lease: DecimalNumber::new(lease.unwrap_or(0)),
        }),
        StoreWrite::DeleteRange { first, end } => TxnWrite::Delete(DeleteRequest {
            key: Base64Bytes::from(first.as_bytes()),
            range_end: Base64Bytes::from(end.as_bytes()),
        }),
    }
}

/// Creates the request that opens a watch, starting after the last known revision.
pub(crate) fn watch_request<'a>(
    watch: &StoreWatch<'_>,
) -> Result<WatchRequest<'a>, TryFromIntError> {
    let range = KeyRange::of_prefix(watch.prefix);
    let start_revision = DecimalNumber::try_from(watch.after.saturating_add(1))?;
    Ok(WatchRequest {
        create_request: WatchCreate {
            key: Base64Bytes::from(range.first),
            range_end: Base64Bytes::from(range.end),
            start_revision,
        },
    })
}

/// Creates the request for a lease. Leases last whole seconds, so `ttl` is rounded up.
pub(crate) fn grant_request(ttl: Duration) -> GrantRequest {
    let seconds = ttl.as_millis().div_ceil(1_000);
    GrantRequest {
        ttl_seconds: DecimalNumber::new(i64::try_from(seconds).unwrap_or(i64::MAX)),
    }
}

/// Whether a write has a value that exceeds the store's size limit.
pub(crate) fn is_too_large(write: &StoreWrite<'_>) -> bool {
    matches!(write, StoreWrite::Put { value, .. } if value.len() > VALUE_MAX_BYTES)
}
