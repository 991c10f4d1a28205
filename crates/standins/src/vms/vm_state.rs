//! The list of VMs and its earlier versions.

use std::collections::VecDeque;

use crate::vms::VmVersion;
use sapphirestile_core::MonoTime;
use sapphirestile_wire::vms::VmRecord;

/// The longest lag that is kept, in milliseconds.
const LAG_MAX_MS: u64 = 600_000;

/// The list as it was replaced over time.
///
/// # Examples
///
/// ```
/// use sapphirestile_core::MonoTime;
/// use sapphirestile_standins::vms::VmState;
///
/// let mut state = VmState::new();
/// state.replace(MonoTime::from_millis(100), Vec::new());
/// assert!(state.list(MonoTime::from_millis(150), 100).is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct VmState {
    versions: VecDeque<VmVersion>,
}

impl VmState {
    /// An empty list.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            versions: VecDeque::new(),
        }
    }

    /// Replaces the list at `now`.
    pub fn replace(&mut self, now: MonoTime, records: Vec<VmRecord>) {
        self.versions.push_back(VmVersion::new(now, records));
        // A version is needed until its successor is older than the longest lag.
        while let Some(successor) = self.versions.get(1) {
            if now.millis_since(successor.since) <= LAG_MAX_MS {
                break;
            }
            self.versions.pop_front();
        }
    }

    /// The list as it stood `lag_ms` milliseconds before `now`. The first list
    /// is seen at once.
    #[must_use]
    pub fn list(&self, now: MonoTime, lag_ms: u64) -> &[VmRecord] {
        self.version(now, lag_ms)
            .map_or(&[], |version| &version.records)
    }

    /// The version that stood then; nothing before the first list.
    #[must_use]
    pub fn version(&self, now: MonoTime, lag_ms: u64) -> Option<&VmVersion> {
        let lag_ms = lag_ms.min(LAG_MAX_MS);
        let visible = |version: &&VmVersion| now.millis_since(version.since) >= lag_ms;
        let version = self.versions.iter().rev().find(visible);
        version.or_else(|| self.versions.front())
    }
}
