//! Handles requests to the store.

use crate::store::store_inner::StoreInner;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::clock::StandinClock;
use crate::serving::ResponseEnding;
use crate::serving::StandinRequest;
use crate::serving::StandinResponse;
use crate::serving::StandinService;
use crate::store::KeyRange;
use crate::store::StoreCounts;
use crate::store::StoreFaults;
use crate::store::WatchOutcome;
use crate::store::store_responses::changes_response;
use crate::store::store_responses::compacted_response;
use crate::store::store_responses::error_response;
use crate::store::store_responses::key_value;
use crate::store::store_responses::lease_response;
use crate::store::store_responses::response_header;
use crate::store::store_responses::unchanged_response;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::store::DecimalNumber;
use sapphirestile_wire::store::GrantRequest;
use sapphirestile_wire::store::KeepAliveRequest;
use sapphirestile_wire::store::KeyValue;
use sapphirestile_wire::store::RangeRequest;
use sapphirestile_wire::store::RangeResponse;
use sapphirestile_wire::store::StreamLine;
use sapphirestile_wire::store::TxnRequest;
use sapphirestile_wire::store::TxnResponse;
use sapphirestile_wire::store::WatchRequest;

/// How long a watch waits for a change before its response ends without one.
const WATCH_TIMEOUT_MS: u64 = 20_000;

/// Serves a [`StoreState`](crate::store::StoreState) over HTTP, with injected faults.
#[derive(Debug)]
pub struct StoreService {
    clock: StandinClock,
    inner: Mutex<StoreInner>,
    changed: Condvar,
}

impl StoreService {
    /// Creates an empty store with `faults` in effect.
    #[must_use]
    pub fn new(faults: StoreFaults) -> Self {
        let inner = StoreInner {
            faults,
            ..StoreInner::default()
        };
        Self {
            clock: StandinClock::start(),
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        }
    }

    /// Replaces the injected faults. When the store becomes unavailable, waiting watches lose
    /// their connection.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.changed.notify_all();
    }

    /// The numbers of requests since the store was started.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.lock().counts
    }

    fn range(&self, call: &RangeRequest<'_>) -> StandinResponse {
        let mut inner = self.lock();
        inner.state.expire_leases(self.clock.now());
        let rows = inner.state.range(KeyRange::of(&call.key, &call.range_end));
        let kvs: Vec<KeyValue<'_>> = rows.map(key_value).collect();
        let response = RangeResponse {
            header: response_header(&inner.state),
            count: DecimalNumber::new(i64::try_from(kvs.len()).unwrap_or(i64::MAX)),
            kvs,
        };
        StandinResponse::json(200, &response)
    }

    fn txn(&self, call: &TxnRequest<'_>) -> StandinResponse {
        let mut inner = self.lock();
        let succeeded = match inner.state.commit(self.clock.now(), call) {
            Ok(succeeded) => succeeded,
            Err(error) => return error_response(error.status(), &error.to_string()),
        };
        self.changed.notify_all();
        let header = response_header(&inner.state);
        let response = StandinResponse::json(200, &TxnResponse { header, succeeded });
        if inner.faults.lose_answers == 0 {
            return response;
        }
        inner.faults.lose_answers -= 1;
        response.with_ending(ResponseEnding::Dropped)
    }

    fn grant(&self, call: GrantRequest) -> StandinResponse {
        let seconds = call.ttl_seconds.revision().unwrap_or(0).max(1);
        let now = self.clock.now();
        let number = self.lock().state.grant(now, seconds.saturating_mul(1_000));
        // Waiting watches have to compute their wake-up time again: this lease may be the
        // next one to expire.
        self.changed.notify_all();
        StandinResponse::json(200, &lease_response(number, seconds.saturating_mul(1_000)))
    }

    fn keep_alive(&self, call: KeepAliveRequest) -> StandinResponse {
        let now = self.clock.now();
        let number = call.lease.get();
        let ttl_ms = self.lock().state.renew(now, number).unwrap_or(0);
        let result = lease_response(number, ttl_ms);
        StandinResponse::json(200, &StreamLine { result })
    }

    fn watch(&self, call: &WatchRequest<'_>) -> StandinResponse {
        let create = &call.create_request;
        let range = KeyRange::of(&create.key, &create.range_end);
        let deadline = self.clock.now().plus_millis(WATCH_TIMEOUT_MS);
        let mut inner = self.lock();
        let start = match create.start_revision.revision().unwrap_or(0) {
            0 => inner.state.revision() + 1,
            start => start,
        };
        loop {
            let now = self.clock.now();
            inner.state.expire_leases(now);
            if inner.faults.down || inner.stopped {
                return StandinResponse::dropped();
            }
            match inner.state.changes_from(range, start) {
                WatchOutcome::Unchanged if now >= deadline => {
                    return unchanged_response(&inner.state);
                }
                WatchOutcome::Unchanged => {}
                WatchOutcome::Changed(changes) => return changes_response(&inner.state, &changes),
                WatchOutcome::Compacted(revision) => {
                    return compacted_response(&inner.state, revision);
                }
            }
            inner = self.wait(inner, now, deadline);
        }
    }

    /// Blocks until there is a change, the next lease expires, or the deadline is reached.
    fn wait<'a>(
        &self,
        inner: MutexGuard<'a, StoreInner>,
        now: MonoTime,
        deadline: MonoTime,
    ) -> MutexGuard<'a, StoreInner> {
        let expiry = inner.state.next_expiry().unwrap_or(deadline);
        let wake_time = expiry.min(deadline);
        let wait = Duration::from_millis(wake_time.millis_since(now));
        let waited = self.changed.wait_timeout(inner, wait);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Counts a request and sleeps for the injected delay. Returns the response when the store
    /// is unavailable, otherwise `None`.
    fn begin_call(&self, count: fn(&mut StoreCounts) -> &mut u64) -> Option<StandinResponse> {
        let delay_ms = {
            let mut inner = self.lock();
            *count(&mut inner.counts) += 1;
            inner.faults.delay_ms
        };
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        let is_down = self.lock().faults.down;
        is_down.then(|| error_response(503, "etcdserver: no leader"))
    }

    fn lock(&self) -> MutexGuard<'_, StoreInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for StoreService {
    fn respond(&self, request: &StandinRequest<'_>) -> StandinResponse {
        match (request.method, request.path) {
            ("POST", "/v3/kv/range") => {
                let unavailable = self.begin_call(|counts| &mut counts.ranges);
                unavailable.unwrap_or_else(|| request.respond_json(|call| self.range(&call)))
            }
            ("POST", "/v3/kv/txn") => {
                let unavailable = self.begin_call(|counts| &mut counts.txns);
                unavailable.unwrap_or_else(|| request.respond_json(|call| self.txn(&call)))
            }
            ("POST", "/v3/lease/grant") => {
                let unavailable = self.begin_call(|counts| &mut counts.grants);
                unavailable.unwrap_or_else(|| request.respond_json(|call| self.grant(call)))
            }
            ("POST", "/v3/lease/keepalive") => {
                let unavailable = self.begin_call(|counts| &mut counts.keeps);
                unavailable.unwrap_or_else(|| request.respond_json(|call| self.keep_alive(call)))
            }
            ("POST", "/v3/watch") => {
                let unavailable = self.begin_call(|counts| &mut counts.watches);
                unavailable.unwrap_or_else(|| request.respond_json(|call| self.watch(&call)))
            }
            ("POST", "/faults") => request.accept_json(|faults| self.set_faults(faults)),
            ("GET", "/counts") => StandinResponse::json(200, &self.counts()),
            _ => error_response(404, "not found"),
        }
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }
}
