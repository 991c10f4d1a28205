//! Answers calls to the store.

use crate::store::served_store::ServedStore;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use crate::clock::StandinClock;
use crate::serving::ReplyEnding;
use crate::serving::StandinCall;
use crate::serving::StandinReply;
use crate::serving::StandinService;
use crate::store::KeySpan;
use crate::store::StoreCounts;
use crate::store::StoreFaults;
use crate::store::WatchOutcome;
use crate::store::store_replies::changed;
use crate::store::store_replies::compacted;
use crate::store::store_replies::created;
use crate::store::store_replies::failure;
use crate::store::store_replies::header;
use crate::store::store_replies::key_value;
use crate::store::store_replies::lease_answer;
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

/// How long a watch waits before its answer ends without a change.
const WATCH_HOLD_MS: u64 = 20_000;

/// The store behind HTTP.
#[derive(Debug)]
pub struct StoreService {
    clock: StandinClock,
    inner: Mutex<ServedStore>,
    changed: Condvar,
}

impl StoreService {
    /// An empty store.
    #[must_use]
    pub fn new(faults: StoreFaults) -> Self {
        let inner = ServedStore {
            faults,
            ..ServedStore::default()
        };
        Self {
            clock: StandinClock::start(),
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        }
    }

    /// Sets the faults. When the store goes down, waiting watches break off.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
        self.changed.notify_all();
    }

    /// How often the store was called.
    #[must_use]
    pub fn counts(&self) -> StoreCounts {
        self.lock().counts
    }

    fn range(&self, call: &RangeRequest<'_>) -> StandinReply {
        let mut inner = self.lock();
        inner.state.lapse(self.clock.now());
        let rows = inner.state.range(KeySpan::of(&call.key, &call.range_end));
        let kvs: Vec<KeyValue<'_>> = rows.map(key_value).collect();
        let answer = RangeResponse {
            header: header(&inner.state),
            count: DecimalNumber::new(i64::try_from(kvs.len()).unwrap_or(i64::MAX)),
            kvs,
        };
        StandinReply::json(200, &answer)
    }

    fn txn(&self, call: &TxnRequest<'_>) -> StandinReply {
        let mut inner = self.lock();
        let succeeded = match inner.state.commit(self.clock.now(), call) {
            Ok(succeeded) => succeeded,
            Err(fault) => return failure(fault.status(), &fault.to_string()),
        };
        self.changed.notify_all();
        let header = header(&inner.state);
        let reply = StandinReply::json(200, &TxnResponse { header, succeeded });
        if inner.faults.lose_answers == 0 {
            return reply;
        }
        inner.faults.lose_answers -= 1;
        reply.with_ending(ReplyEnding::Dropped)
    }

    fn grant(&self, call: GrantRequest) -> StandinReply {
        let seconds = call.ttl_seconds.revision().unwrap_or(0).max(1);
        let now = self.clock.now();
        let number = self.lock().state.grant(now, seconds.saturating_mul(1_000));
        // A watch that waits has to wake when this lease lapses.
        self.changed.notify_all();
        StandinReply::json(200, &lease_answer(number, seconds.saturating_mul(1_000)))
    }

    fn keep(&self, call: KeepAliveRequest) -> StandinReply {
        let now = self.clock.now();
        let number = call.lease.get();
        let ttl_ms = self.lock().state.keep(now, number).unwrap_or(0);
        let result = lease_answer(number, ttl_ms);
        StandinReply::json(200, &StreamLine { result })
    }

    fn watch(&self, call: &WatchRequest<'_>) -> StandinReply {
        let create = &call.create_request;
        let span = KeySpan::of(&create.key, &create.range_end);
        let deadline = self.clock.now().plus_millis(WATCH_HOLD_MS);
        let mut inner = self.lock();
        let start = match create.start_revision.revision().unwrap_or(0) {
            0 => inner.state.revision() + 1,
            start => start,
        };
        loop {
            let now = self.clock.now();
            inner.state.lapse(now);
            if inner.faults.down || inner.stopped {
                return StandinReply::dropped();
            }
            match inner.state.changes_from(span, start) {
                WatchOutcome::Quiet if now >= deadline => return created(&inner.state),
                WatchOutcome::Quiet => {}
                WatchOutcome::Changed(changes) => return changed(&inner.state, &changes),
                WatchOutcome::Compacted(known) => return compacted(&inner.state, known),
            }
            inner = self.wait(inner, now, deadline);
        }
    }

    /// Waits for a change, the next lapse of a lease or the deadline.
    fn wait<'a>(
        &self,
        inner: MutexGuard<'a, ServedStore>,
        now: MonoTime,
        deadline: MonoTime,
    ) -> MutexGuard<'a, ServedStore> {
        let lapse = inner.state.next_lapse().unwrap_or(deadline);
        let until = lapse.min(deadline);
        let wait = Duration::from_millis(until.millis_since(now));
        let waited = self.changed.wait_timeout(inner, wait);
        waited.unwrap_or_else(PoisonError::into_inner).0
    }

    /// Counts a call and waits out the delay; replies when the store is down.
    fn admit(&self, count: fn(&mut StoreCounts) -> &mut u64) -> Option<StandinReply> {
        let delay_ms = {
            let mut inner = self.lock();
            *count(&mut inner.counts) += 1;
            inner.faults.delay_ms
        };
        if delay_ms > 0 {
            std::thread::sleep(Duration::from_millis(delay_ms));
        }
        let down = self.lock().faults.down;
        down.then(|| failure(503, "etcdserver: no leader"))
    }

    fn lock(&self) -> MutexGuard<'_, ServedStore> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for StoreService {
    fn answer(&self, call: &StandinCall<'_>) -> StandinReply {
        match (call.method, call.path) {
            ("POST", "/v3/kv/range") => {
                let refused = self.admit(|counts| &mut counts.ranges);
                refused.unwrap_or_else(|| call.answer_json(|call| self.range(&call)))
            }
            ("POST", "/v3/kv/txn") => {
                let refused = self.admit(|counts| &mut counts.txns);
                refused.unwrap_or_else(|| call.answer_json(|call| self.txn(&call)))
            }
            ("POST", "/v3/lease/grant") => {
                let refused = self.admit(|counts| &mut counts.grants);
                refused.unwrap_or_else(|| call.answer_json(|call| self.grant(call)))
            }
            ("POST", "/v3/lease/keepalive") => {
                let refused = self.admit(|counts| &mut counts.keeps);
                refused.unwrap_or_else(|| call.answer_json(|call| self.keep(call)))
            }
            ("POST", "/v3/watch") => {
                let refused = self.admit(|counts| &mut counts.watches);
                refused.unwrap_or_else(|| call.answer_json(|call| self.watch(&call)))
            }
            ("POST", "/faults") => call.take_json(|faults| self.set_faults(faults)),
            ("GET", "/counts") => StandinReply::json(200, &self.counts()),
            _ => failure(404, "not found"),
        }
    }

    fn stop(&self) {
        self.lock().stopped = true;
        self.changed.notify_all();
    }
}
