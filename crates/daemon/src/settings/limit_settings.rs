//! Limits and intervals.

use sapphirestile_core::SectionReader;

const CALLER_BODY_DEFAULT_BYTES: usize = 1_048_576;
const CALLER_BODY_MAX_BYTES: usize = 67_108_864;
const BODY_MAX_DEFAULT_MS: u64 = 60_000;
const STORE_TIMEOUT_DEFAULT_MS: u64 = 2_000;
const HEARTBEAT_DEFAULT_MS: u64 = 250;
const SUSPECT_DEFAULT_MS: u64 = 1_500;
const SLOWDOWN_DEFAULT_MS: u64 = 5_000;
const LEASE_DEFAULT_MS: u64 = HOUR_MS;
const REQUEST_MAX_DEFAULT_MS: u64 = 30_000;
const DRAIN_MAX_DEFAULT_MS: u64 = 60_000;
const DAY_MS: u64 = 86_400_000;
const HOUR_MS: u64 = 3_600_000;
const HEARTBEATS_BEFORE_SUSPECT: u64 = 2;
const BODY_EXPECTED: &str = "bytes from 1 to 67108864";
const STORE_TIMEOUT_EXPECTED: &str = "milliseconds from 10 to 60000";
const HEARTBEAT_EXPECTED: &str = "milliseconds from 10 to 60000";
const SUSPECT_EXPECTED: &str = "milliseconds from 20 to 3600000";
const SLOWDOWN_EXPECTED: &str = "milliseconds from 100 to 60000";
const LEASE_EXPECTED: &str = "milliseconds from 2000 to 86400000";
const BODY_MAX_EXPECTED: &str = "milliseconds from 100 to 3600000";
const HOUR_EXPECTED: &str = "milliseconds from 1 to 3600000";
const SUSPECT_LATER_EXPECTED: &str = "at least twice heartbeat_ms";
const DRAIN_LONGER_EXPECTED: &str = "at least request_max_ms, so that a stop cuts off no request";

/// The `[limits]` section; every key has a default.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitSettings {
    /// The maximum length of the body of a caller's request, in bytes.
    pub caller_body_bytes: usize,
    /// The time within which the body of a request must arrive, in milliseconds.
    pub body_max_ms: u64,
    /// The timeout of a call to the store, in milliseconds.
    pub store_timeout_ms: u64,
    /// The interval of heartbeats to other daemons, in milliseconds.
    pub heartbeat_ms: u64,
    /// The time without a heartbeat after which another daemon is suspected to have failed,
    /// in milliseconds; at least twice `heartbeat_ms`.
    pub suspect_ms: u64,
    /// The interval of measurements of how much batch tasks slow down requests, in
    /// milliseconds.
    pub slowdown_ms: u64,
    /// The time for which a task may run unless its lease is renewed, in milliseconds.
    pub lease_ms: u64,
    /// The longest time that a request may be in flight at a runner, in milliseconds. The
    /// slot of a request without a response is released after this time.
    pub request_max_ms: u64,
    /// The time for which a planned stop waits at most, in milliseconds; at least
    /// `request_max_ms`.
    pub drain_max_ms: u64,
}

impl LimitSettings {
    pub(super) fn read(mut reader: SectionReader<'_>) -> Option<Self> {
        let caller_body_bytes = reader.ranged(
            "caller_body_bytes",
            Some(CALLER_BODY_DEFAULT_BYTES),
            1..=CALLER_BODY_MAX_BYTES,
            BODY_EXPECTED,
        );
        let mut millis = |key, default, range, expected| {
            reader.ranged::<u64>(key, Some(default), range, expected)
        };
        let body_max_ms = millis(
            "body_max_ms",
            BODY_MAX_DEFAULT_MS,
            100..=HOUR_MS,
            BODY_MAX_EXPECTED,
        );
        let store_timeout_ms = millis(
            "store_timeout_ms",
            STORE_TIMEOUT_DEFAULT_MS,
            10..=60_000,
            STORE_TIMEOUT_EXPECTED,
        );
        let heartbeat_ms = millis(
            "heartbeat_ms",
            HEARTBEAT_DEFAULT_MS,
            10..=60_000,
            HEARTBEAT_EXPECTED,
        );
        let suspect_ms = millis(
            "suspect_ms",
            SUSPECT_DEFAULT_MS,
            20..=HOUR_MS,
            SUSPECT_EXPECTED,
        );
        let slowdown_ms = millis(
            "slowdown_ms",
            SLOWDOWN_DEFAULT_MS,
            100..=60_000,
            SLOWDOWN_EXPECTED,
        );
        let lease_ms = millis("lease_ms", LEASE_DEFAULT_MS, 2_000..=DAY_MS, LEASE_EXPECTED);
        let request_max_ms = millis(
            "request_max_ms",
            REQUEST_MAX_DEFAULT_MS,
            1..=HOUR_MS,
            HOUR_EXPECTED,
        );
        let drain_max_ms = millis(
            "drain_max_ms",
            DRAIN_MAX_DEFAULT_MS,
            1..=HOUR_MS,
            HOUR_EXPECTED,
        );
        if let (Some(suspect), Some(heartbeat)) = (suspect_ms, heartbeat_ms)
            && suspect < heartbeat * HEARTBEATS_BEFORE_SUSPECT
        {
            reader.fault("suspect_ms", &suspect.to_string(), SUSPECT_LATER_EXPECTED);
        }
        if let (Some(drain), Some(request)) = (drain_max_ms, request_max_ms)
            && drain < request
        {
            reader.fault("drain_max_ms", &drain.to_string(), DRAIN_LONGER_EXPECTED);
        }
        reader.finish();
        Some(Self {
            caller_body_bytes: caller_body_bytes?,
            body_max_ms: body_max_ms?,
            store_timeout_ms: store_timeout_ms?,
            heartbeat_ms: heartbeat_ms?,
            suspect_ms: suspect_ms?,
            slowdown_ms: slowdown_ms?,
            lease_ms: lease_ms?,
            request_max_ms: request_max_ms?,
            drain_max_ms: drain_max_ms?,
        })
    }
}
