//! Handles requests for the list of VMs.

use std::sync::Mutex;
use std::sync::PoisonError;

use oxhttp::model::HeaderValue;

use crate::clock::StandinClock;
use crate::serving::StandinRequest;
use crate::serving::StandinResponse;
use crate::serving::StandinService;
use crate::vms::VmListCounts;
use crate::vms::VmListFaults;
use crate::vms::VmListVersion;
use crate::vms::vm_list_inner::VmListInner;
use sapphirestile_wire::vms::VmRecord;

const STATUS_NOT_MODIFIED: u16 = 304;

/// Serves a list of VMs over HTTP, with injected faults.
#[derive(Debug)]
pub struct VmListService {
    clock: StandinClock,
    inner: Mutex<VmListInner>,
}

impl VmListService {
    /// Creates a service with an empty list and with `faults` in effect.
    #[must_use]
    pub fn new(faults: VmListFaults) -> Self {
        let inner = VmListInner {
            faults,
            ..VmListInner::default()
        };
        Self {
            clock: StandinClock::start(),
            inner: Mutex::new(inner),
        }
    }

    /// Replaces the whole list; readers see it once the injected lag has passed.
    pub fn replace(&self, records: Vec<VmRecord>) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.counts.replacements += 1;
        inner.state.replace(now, records);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: VmListFaults) {
        self.lock().faults = faults;
    }

    /// The numbers of reads and replacements since the service was created.
    #[must_use]
    pub fn counts(&self) -> VmListCounts {
        self.lock().counts
    }

    fn read(&self, request: &StandinRequest<'_>) -> StandinResponse {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.faults.down {
            return StandinResponse::plain(503, b"");
        }
        let response = match inner.state.version(now, inner.faults.lag_ms) {
            None => StandinResponse::plain(200, b"[]"),
            Some(version) if inner.faults.plain => StandinResponse::plain(200, &version.body),
            Some(version) => version_response(version, request),
        };
        inner.counts.reads += 1;
        inner.counts.unchanged += u64::from(response.status == STATUS_NOT_MODIFIED);
        inner.counts.bytes += response.body.len() as u64;
        response
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VmListInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for VmListService {
    fn respond(&self, request: &StandinRequest<'_>) -> StandinResponse {
        match (request.method, request.path) {
            ("GET", "/v1/vms") => self.read(request),
            ("PUT", "/v1/vms") => request.accept_json(|records| self.replace(records)),
            ("POST", "/faults") => request.accept_json(|faults| self.set_faults(faults)),
            ("GET", "/counts") => StandinResponse::json(200, &self.counts()),
            _ => StandinResponse::plain(404, b""),
        }
    }
}

fn version_response(version: &VmListVersion, request: &StandinRequest<'_>) -> StandinResponse {
    let has_header = |header: &str, value: &str| {
        let found = request.headers.get(header);
        found.is_some_and(|found| found.as_bytes() == value.as_bytes())
    };
    let etag = HeaderValue::from_str(&version.etag).expect("an etag is a valid header value");
    if has_header("if-none-match", &version.etag) {
        return StandinResponse::plain(STATUS_NOT_MODIFIED, b"").with_header("etag", etag);
    }
    let response = if has_header("accept-encoding", "gzip") {
        let gzip = HeaderValue::from_static("gzip");
        StandinResponse::plain(200, &version.gzip_body).with_header("content-encoding", gzip)
    } else {
        StandinResponse::plain(200, &version.body)
    };
    response.with_header("etag", etag)
}
