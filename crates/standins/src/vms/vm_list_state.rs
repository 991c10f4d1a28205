//! The current and earlier versions of a list of VMs.

use std::collections::VecDeque;

use crate::vms::VmListVersion;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::vms::VmRecord;

/// The longest supported lag, in milliseconds; older versions are dropped.
const LAG_MAX_MS: u64 = 600_000;

/// The current and earlier versions of a list of VMs, to serve it with a lag. It reads no
/// clock: the time is passed to each operation.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_standins::vms::VmListState;
///
/// let mut state = VmListState::new();
/// state.replace(MonoTime::from_millis(100), Vec::new());
/// assert!(state.list(MonoTime::from_millis(150), 100).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct VmListState {
    versions: VecDeque<VmListVersion>,
}

impl VmListState {
    /// Creates a list without any version.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            versions: VecDeque::new(),
        }
    }

    /// Adds a version that is published at `now`.
    pub fn replace(&mut self, now: MonoTime, records: Vec<VmRecord>) {
        self.versions.push_back(VmListVersion::new(now, records));
        // A version can still be served until its successor is older than the longest lag.
        while let Some(successor) = self.versions.get(1) {
            if now.millis_since(successor.published) <= LAG_MAX_MS {
                break;
            }
            self.versions.pop_front();
        }
    }

    /// The list as it was `lag_ms` milliseconds before `now`; a lag above 600,000 ms counts as
    /// 600,000 ms. When no version was published by then, the earliest known one is returned,
    /// so that the first list is visible at once.
    #[must_use]
    pub fn list(&self, now: MonoTime, lag_ms: u64) -> &[VmRecord] {
        self.version(now, lag_ms)
            .map_or(&[], |version| &version.records)
    }

    /// The version that [`Self::list`] returns; `None` before the first list.
    #[must_use]
    pub fn version(&self, now: MonoTime, lag_ms: u64) -> Option<&VmListVersion> {
        let lag_ms = lag_ms.min(LAG_MAX_MS);
        let is_visible = |version: &&VmListVersion| now.millis_since(version.published) >= lag_ms;
        let version = self.versions.iter().rev().find(is_visible);
        version.or_else(|| self.versions.front())
    }
}
