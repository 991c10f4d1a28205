//! Answers calls for the list of VMs.

use crate::vms::served_list::ServedList;
use std::sync::Mutex;
use std::sync::PoisonError;

use crate::clock::StandinClock;
use crate::serving::StandinCall;
use crate::serving::StandinReply;
use crate::serving::StandinService;
use crate::vms::VmCounts;
use crate::vms::VmFaults;
use sapphirestile_wire::vms::VmRecord;

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

    fn read(&self) -> StandinReply {
        let now = self.clock.now();
        let mut inner = self.lock();
        if inner.faults.down {
            return StandinReply::plain(503, b"");
        }
        inner.counts.reads += 1;
        StandinReply::json(200, &inner.state.list(now, inner.faults.lag_ms))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ServedList> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StandinService for VmService {
    fn answer(&self, call: &StandinCall<'_>) -> StandinReply {
        match (call.method, call.path) {
            ("GET", "/v1/vms") => self.read(),
            ("PUT", "/v1/vms") => call.take_json(|records| self.replace(records)),
            ("POST", "/faults") => call.take_json(|faults| self.set_faults(faults)),
            ("GET", "/counts") => StandinReply::json(200, &self.counts()),
            _ => StandinReply::plain(404, b""),
        }
    }
}
