//! Answers calls for the list of VMs.

use std::sync::Mutex;
use std::sync::PoisonError;

use oxhttp::model::HeaderValue;

use crate::clock::StandinClock;
use crate::serving::StandinCall;
use crate::serving::StandinReply;
use crate::serving::StandinService;
use crate::vms::VmCounts;
use crate::vms::VmFaults;
use crate::vms::VmVersion;
use crate::vms::served_list::ServedList;
use sapphirestile_wire::vms::VmRecord;

const STATUS_UNCHANGED: u16 = 304;

/// The list of VMs behind HTTP.
#[derive(Debug)]
pub struct VmService {
    clock: StandinClock,
    inner: Mutex<ServedList>,
}

impl VmService {
    /// A service with an empty list.
    #[must_use]
    pub fn new(faults: VmFaults) -> Self {
        let inner = ServedList {
            faults,
            ..ServedList::default()
        };
        Self {
            clock: StandinClock::start(),
            inner: Mutex::new(inner),
        }
    }

    /// Replaces the list.
    pub fn replace(&self, records: Vec<VmRecord>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.counts.replacements += 1;
        inner.state.replace(now, records);
    }

    /// Sets the faults.
    pub fn set_faults(&self, faults: VmFaults) {
        self.lock().faults = faults;
    }

    /// How often the list was read and replaced.
    #[must_use]
    pub fn counts(&self) -> VmCounts {
        self.lock().counts
    }

    fn read(&self, call: &StandinCall<'_>) -> StandinReply {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.faults.down {
            return StandinReply::plain(503, b"");
        }
        let reply = match inner.state.version(now, inner.faults.lag_ms) {
            None => StandinReply::plain(200, b"[]"),
            Some(version) if inner.faults.plain => StandinReply::plain(200, &version.body),
            Some(version) => reply_of(version, call),
        };
        inner.counts.reads += 1;
        inner.counts.unchanged += u64::from(reply.status == STATUS_UNCHANGED);
        inner.counts.bytes += reply.body.len() as u64;
        reply
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ServedList> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for VmService {
    fn answer(&self, call: &StandinCall<'_>) -> StandinReply {
        match (call.method, call.path) {
            ("GET", "/v1/vms") => self.read(call),
            ("PUT", "/v1/vms") => call.take_json(|records| self.replace(records)),
            ("POST", "/faults") => call.take_json(|faults| self.set_faults(faults)),
            ("GET", "/counts") => StandinReply::json(200, &self.counts()),
            _ => StandinReply::plain(404, b""),
        }
    }
}

fn reply_of(version: &VmVersion, call: &StandinCall<'_>) -> StandinReply {
    let names = |header: &str, value: &str| {
        let named = call.headers.get(header);
        named.is_some_and(|named| named.as_bytes() == value.as_bytes())
    };
    let tag = HeaderValue::from_str(&version.tag).expect("a tag is made of digits");
    if names("if-none-match", &version.tag) {
        return StandinReply::plain(STATUS_UNCHANGED, b"").with_header("etag", tag);
    }
    let reply = if names("accept-encoding", "gzip") {
        let gzip = HeaderValue::from_static("gzip");
        StandinReply::plain(200, &version.packed).with_header("content-encoding", gzip)
    } else {
        StandinReply::plain(200, &version.body)
    };
    reply.with_header("etag", tag)
}
