//! Conversion of the store's state to response bodies.

use crate::serving::StandinResponse;
use crate::store::KeyChange;
use crate::store::StoreState;
use crate::store::StoredRow;
use sapphirestile_wire::store::Base64Bytes;
use sapphirestile_wire::store::DecimalNumber;
use sapphirestile_wire::store::ErrorResponse;
use sapphirestile_wire::store::KeyValue;
use sapphirestile_wire::store::LeaseResponse;
use sapphirestile_wire::store::ResponseHeader;
use sapphirestile_wire::store::StreamLine;
use sapphirestile_wire::store::WatchEvent;
use sapphirestile_wire::store::WatchResponse;

/// The header of a response, with the current revision of the store.
pub(crate) fn response_header(state: &StoreState) -> ResponseHeader {
    ResponseHeader {
        revision: decimal(state.revision()),
    }
}

fn decimal(number: u64) -> DecimalNumber {
    DecimalNumber::try_from(number).expect("revisions stay below 2^63")
}

/// Converts a row to its form in a response.
pub(crate) fn key_value<'a>((key, row): (&'a [u8], &'a StoredRow)) -> KeyValue<'a> {
    KeyValue {
        key: Base64Bytes::from(key),
        value: Base64Bytes::from(row.value.as_slice()),
        create_revision: decimal(row.create_revision),
        mod_revision: decimal(row.mod_revision),
        lease: DecimalNumber::new(row.lease.unwrap_or(0)),
    }
}

/// The response to a grant or renewal. The time to live is rounded down to whole seconds.
pub(crate) fn lease_response(number: i64, ttl_ms: u64) -> LeaseResponse {
    let seconds = i64::try_from(ttl_ms / 1_000).unwrap_or(i64::MAX);
    LeaseResponse {
        lease: DecimalNumber::new(number),
        ttl_seconds: DecimalNumber::new(seconds),
    }
}

fn watch_event(change: &KeyChange) -> WatchEvent<'_> {
    WatchEvent {
        kv: KeyValue {
            key: Base64Bytes::from(change.key.as_slice()),
            value: Base64Bytes::default(),
            create_revision: DecimalNumber::default(),
            mod_revision: decimal(change.revision),
            lease: DecimalNumber::default(),
        },
    }
}

/// The response to a watch that has found changes.
pub(crate) fn changes_response(state: &StoreState, changes: &[KeyChange]) -> StandinResponse {
    let response = WatchResponse {
        header: response_header(state),
        canceled: false,
        compact_revision: DecimalNumber::default(),
        events: changes.iter().map(watch_event).collect(),
    };
    watch_lines(&[watch_created(state), response])
}

/// The response to a watch that has found no change before its time limit.
pub(crate) fn unchanged_response(state: &StoreState) -> StandinResponse {
    watch_lines(&[watch_created(state)])
}

/// The response to a watch from a revision before `compact_revision`: the changes are no
/// longer known.
pub(crate) fn compacted_response(state: &StoreState, compact_revision: u64) -> StandinResponse {
    let response = WatchResponse {
        canceled: true,
        compact_revision: decimal(compact_revision),
        ..watch_created(state)
    };
    watch_lines(&[watch_created(state), response])
}

fn watch_created(state: &StoreState) -> WatchResponse<'static> {
    WatchResponse {
        header: response_header(state),
        canceled: false,
        compact_revision: DecimalNumber::default(),
        events: Vec::new(),
    }
}

fn watch_lines(responses: &[WatchResponse<'_>]) -> StandinResponse {
    let mut body = Vec::new();
    for result in responses {
        let line = serde_json::to_vec(&StreamLine { result });
        body.extend(line.expect("serialize a watch response as JSON"));
        body.push(b'\n');
    }
    StandinResponse::plain(200, &body)
}

/// The response to a failed request, in etcd's format.
pub(crate) fn error_response(status: u16, message: &str) -> StandinResponse {
    let message = message.to_owned();
    StandinResponse::json(status, &ErrorResponse { message })
}
