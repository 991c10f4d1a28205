//! Replies of the store.

use crate::serving::StandinReply;
use crate::store::ChangeEntry;
use crate::store::StoreState;
use crate::store::StoredEntry;
use sapphirestile_wire::store::Base64Bytes;
use sapphirestile_wire::store::DecimalNumber;
use sapphirestile_wire::store::ErrorResponse;
use sapphirestile_wire::store::KeyValue;
use sapphirestile_wire::store::LeaseResponse;
use sapphirestile_wire::store::ResponseHeader;
use sapphirestile_wire::store::StreamLine;
use sapphirestile_wire::store::WatchEvent;
use sapphirestile_wire::store::WatchResponse;

/// Where the store stands.
pub(crate) fn header(state: &StoreState) -> ResponseHeader {
    ResponseHeader {
        revision: decimal(state.revision()),
    }
}

fn decimal(number: u64) -> DecimalNumber {
    DecimalNumber::try_from(number).expect("a revision stays below 2^63")
}

/// A row as it is answered.
pub(crate) fn key_value<'a>((key, entry): (&'a [u8], &'a StoredEntry)) -> KeyValue<'a> {
    KeyValue {
        key: Base64Bytes::from(key),
        value: Base64Bytes::from(entry.value.as_slice()),
        create_revision: decimal(entry.create_revision),
        mod_revision: decimal(entry.mod_revision),
        lease: DecimalNumber::new(entry.lease.unwrap_or(0)),
    }
}

/// A lease and what is left of it, in whole seconds.
pub(crate) fn lease_answer(number: i64, ttl_ms: u64) -> LeaseResponse {
    let seconds = i64::try_from(ttl_ms / 1_000).unwrap_or(i64::MAX);
    LeaseResponse {
        lease: DecimalNumber::new(number),
        ttl_seconds: DecimalNumber::new(seconds),
    }
}

fn watch_event(change: &ChangeEntry) -> WatchEvent<'_> {
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

/// The reply to a watch that saw changes.
pub(crate) fn changed(state: &StoreState, changes: &[ChangeEntry]) -> StandinReply {
    let answer = WatchResponse {
        header: header(state),
        canceled: false,
        compact_revision: DecimalNumber::default(),
        events: changes.iter().map(watch_event).collect(),
    };
    watch_lines(&[opening(state), answer])
}

/// The reply to a watch that saw no change.
pub(crate) fn created(state: &StoreState) -> StandinReply {
    watch_lines(&[opening(state)])
}

/// The reply to a watch of changes that are forgotten.
pub(crate) fn compacted(state: &StoreState, known: u64) -> StandinReply {
    let answer = WatchResponse {
        canceled: true,
        compact_revision: decimal(known),
        ..opening(state)
    };
    watch_lines(&[opening(state), answer])
}

fn opening(state: &StoreState) -> WatchResponse<'static> {
    WatchResponse {
        header: header(state),
        canceled: false,
        compact_revision: DecimalNumber::default(),
        events: Vec::new(),
    }
}

fn watch_lines(answers: &[WatchResponse<'_>]) -> StandinReply {
    let mut body = Vec::new();
    for result in answers {
        let line = serde_json::to_vec(&StreamLine { result });
        body.extend(line.expect("an answer is written as JSON"));
        body.push(b'\n');
    }
    StandinReply::plain(200, &body)
}

/// The reply to a call that failed.
pub(crate) fn failure(status: u16, message: &str) -> StandinReply {
    let message = message.to_owned();
    StandinReply::json(status, &ErrorResponse { message })
}
